/* Errors: a code of one layer and the last message that explains it.

   Every layer defines its own enum of codes, with zero for success.  A layer
   that fails because of a lower one sets its own code and includes the lower
   message with error_wrap.  */
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

/* Turns the error LOWER of a layer below into CODE of this layer, with
   CONTEXT before the lower message.  Returns CODE.  */
int error_wrap (struct error *e, int code, const char *context,
                const struct error *lower);

#endif
