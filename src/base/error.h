/* Errors: a numeric code and a message.

   Every layer defines its own enum of codes, with zero for success.  A layer
   that fails because of an error in a lower layer sets its own code and
   includes the lower layer's message with error_wrap.  */
#ifndef BASE_ERROR_H
#define BASE_ERROR_H

enum
{
  ERROR_MESSAGE_BYTES = 512
};

struct error
{
  int code;
  char message[ERROR_MESSAGE_BYTES];
};

/* Sets CODE and a formatted message.  Returns CODE.  */
int error_set (struct error *e, int code, const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));

/* Sets CODE and the message "CONTEXT: message of LOWER", where LOWER is the
   error of a lower layer.  Returns CODE.  */
int error_wrap (struct error *e, int code, const char *context,
                const struct error *lower);

#endif
