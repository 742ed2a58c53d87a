#include "net/http_framing.h"

#include <string.h>
#include <strings.h>

enum
{
  /* Digits of a chunk's size: leading zeros beyond them are refused.  */
  SIZE_DIGITS_MAXIMUM = 15,

  LENGTH_DIGITS_MAXIMUM = 18,

  /* Bytes of chunk sizes, extensions and trailers that a body may have: the
     limit of a head, and so many for each byte of the body.  A chunk of one
     byte needs 5.  */
  OVERHEAD_PER_BYTE = 8,

  DECIMAL = 10,
  HEXADECIMAL = 16
};

static const char length_name[] = "content-length";
static const char coding_name[] = "transfer-encoding";
static const char expect_name[] = "expect";

void
http_framing_init (struct http_framing *f)
{
  memset (f, 0, sizeof *f);
}

bool
http_framing_has_begun (const struct http_framing *f)
{
  return f->state > FRAMING_BEFORE_LF;
}

/* Whether C may stand in a request line or a field's value.  */
static bool
is_line_byte (char c)
{
  return (unsigned char)c >= ' ' || c == '\t';
}

/* A token's characters, of RFC 9110.  */
static const bool name_bytes[UINT8_MAX + 1] = {
  ['!'] = true,  ['#'] = true, ['$'] = true, ['%'] = true, ['&'] = true,
  ['\''] = true, ['*'] = true, ['+'] = true, ['-'] = true, ['.'] = true,
  ['^'] = true,  ['_'] = true, ['`'] = true, ['|'] = true, ['~'] = true,
  ['0'] = true,  ['1'] = true, ['2'] = true, ['3'] = true, ['4'] = true,
  ['5'] = true,  ['6'] = true, ['7'] = true, ['8'] = true, ['9'] = true,
  ['A'] = true,  ['B'] = true, ['C'] = true, ['D'] = true, ['E'] = true,
  ['F'] = true,  ['G'] = true, ['H'] = true, ['I'] = true, ['J'] = true,
  ['K'] = true,  ['L'] = true, ['M'] = true, ['N'] = true, ['O'] = true,
  ['P'] = true,  ['Q'] = true, ['R'] = true, ['S'] = true, ['T'] = true,
  ['U'] = true,  ['V'] = true, ['W'] = true, ['X'] = true, ['Y'] = true,
  ['Z'] = true,  ['a'] = true, ['b'] = true, ['c'] = true, ['d'] = true,
  ['e'] = true,  ['f'] = true, ['g'] = true, ['h'] = true, ['i'] = true,
  ['j'] = true,  ['k'] = true, ['l'] = true, ['m'] = true, ['n'] = true,
  ['o'] = true,  ['p'] = true, ['q'] = true, ['r'] = true, ['s'] = true,
  ['t'] = true,  ['u'] = true, ['v'] = true, ['w'] = true, ['x'] = true,
  ['y'] = true,  ['z'] = true,
};

static bool
is_name_byte (char c)
{
  return name_bytes[(unsigned char)c];
}

static void
add_text (struct http_framing *f, char c)
{
  if (f->text_length < FRAMING_NAME_BYTES)
    f->text[f->text_length] = c;
  f->text_length++;
}

/* The text read, with the space around it removed; "" if it is longer than any
   that matters, which is no name and no value that is accepted.  */
static const char *
end_text (struct http_framing *f)
{
  uint32_t n = f->text_length > FRAMING_NAME_BYTES ? 0 : f->text_length;

  while (n > 0 && (f->text[n - 1] == ' ' || f->text[n - 1] == '\t'))
    n--;
  f->text[n] = '\0';
  return f->text;
}

static void
end_name (struct http_framing *f)
{
  const char *name = end_text (f);

  f->field = FRAMING_FIELD_OTHER;
  if (strcasecmp (name, length_name) == 0)
    f->field = FRAMING_FIELD_LENGTH;
  else if (strcasecmp (name, coding_name) == 0)
    f->field = FRAMING_FIELD_CODING;
  else if (strcasecmp (name, expect_name) == 0)
    f->field = FRAMING_FIELD_EXPECT;
  f->text_length = 0;
}

static bool
end_length (struct http_framing *f, const char *text)
{
  uint64_t value = 0;

  if (text[0] == '\0' || strlen (text) > LENGTH_DIGITS_MAXIMUM)
    return false;
  for (const char *at = text; *at != '\0'; at++)
    {
      if (*at < '0' || *at > '9')
        return false;
      value = value * DECIMAL + (uint64_t)(*at - '0');
    }
  if (f->has_length && f->length != value)
    return false;
  f->has_length = true;
  f->length = value;
  return true;
}

/* Notes the value of the field that has ended.  Returns false if the framing
   that it asks for is not served.  */
static bool
end_value (struct http_framing *f)
{
  const char *text = end_text (f);

  switch (f->field)
    {
    case FRAMING_FIELD_LENGTH:
      return end_length (f, text);
    case FRAMING_FIELD_CODING:
      if (f->chunked || strcasecmp (text, "chunked") != 0)
        return false;
      f->chunked = true;
      return true;
    case FRAMING_FIELD_EXPECT:
      f->expects_continue = strcasecmp (text, "100-continue") == 0;
      return f->expects_continue;
    default:
      return true;
    }
}

static void
start_field (struct http_framing *f)
{
  f->state = FRAMING_FIELD_NAME;
  f->field_at = f->kept_bytes;
  f->text_length = 0;
  f->field_count++;
}

/* Takes C, a byte of the request line or of a field.  */
static enum framing_result
take_head_byte (struct http_framing *f, char c)
{
  switch (f->state)
    {
    case FRAMING_LINE:
      if (c == '\r')
        f->state = FRAMING_LINE_LF;
      else if (!is_line_byte (c))
        return FRAMING_INVALID;
      break;
    case FRAMING_LINE_LF:
    case FRAMING_FIELD_LF:
      if (c != '\n' || (f->state == FRAMING_FIELD_LF && !end_value (f)))
        return FRAMING_INVALID;
      f->state = FRAMING_FIELD_START;
      break;
    case FRAMING_FIELD_START:
      if (c == '\r')
        {
          f->state = FRAMING_HEAD_LF;
          break;
        }
      start_field (f);
      /* Falls through.  */
    case FRAMING_FIELD_NAME:
      if (c == ':' && f->text_length != 0)
        {
          end_name (f);
          f->state = FRAMING_FIELD_VALUE;
        }
      else if (!is_name_byte (c))
        return FRAMING_INVALID;
      else
        add_text (f, c);
      break;
    case FRAMING_FIELD_VALUE:
      if (c == '\r')
        f->state = FRAMING_FIELD_LF;
      else if (!is_line_byte (c))
        return FRAMING_INVALID;
      else if (f->field != FRAMING_FIELD_OTHER
               && (f->text_length != 0 || (c != ' ' && c != '\t')))
        add_text (f, c);
      break;
    default: /* FRAMING_HEAD_LF */
      return c == '\n' ? FRAMING_HEAD_DONE : FRAMING_INVALID;
    }
  return FRAMING_MORE;
}

/* Decides, at the end of the head, what follows it.  */
static enum framing_result
end_head (struct http_framing *f, const struct framing_limits *limits)
{
  if (f->chunked && f->has_length)
    return FRAMING_INVALID;
  f->body_left = f->has_length ? f->length : 0;
  if (f->body_left > limits->body_bytes)
    return FRAMING_BODY_TOO_LONG;
  f->state = f->chunked ? FRAMING_CHUNK_SIZE : FRAMING_BODY;
  f->size_digits = 0;
  f->length = f->chunked ? 0 : f->length;
  return FRAMING_HEAD_DONE;
}

/* Returns how many bytes of DATA at most stay within the text of the request
   line, or of the value of a field that does not matter here.  Those are most
   of a head's bytes.  */
static size_t
skip_text (struct http_framing *f, const struct framing_limits *limits,
           const char *data, size_t length)
{
  size_t left = limits->head_bytes - f->head_bytes;
  size_t n = 0;

  if (f->state != FRAMING_LINE
      && (f->state != FRAMING_FIELD_VALUE || f->field != FRAMING_FIELD_OTHER))
    return 0;
  if (length > left)
    length = left;
  while (n < length && (unsigned char)data[n] >= ' ')
    n++;
  f->head_bytes += (uint32_t)n;
  f->kept_bytes += (uint32_t)n;
  return n;
}

/* Whether the field that has ended is left out of the head.  */
static bool
is_left_out (const struct http_framing *f)
{
  return f->field != FRAMING_FIELD_OTHER
         || f->kept_bytes - f->field_at > FRAMING_TOKEN_BYTES;
}

static enum framing_result
take_head (struct http_framing *f, const struct framing_limits *limits,
           const char *data, size_t length, struct framing_step *step)
{
  size_t i;

  step->head = data;
  for (i = 0; i < length; i++)
    {
      enum framing_state before;
      enum framing_result r;

      if (f->head_bytes >= limits->head_bytes)
        return FRAMING_HEAD_TOO_LONG;
      i += skip_text (f, limits, data + i, length - i);
      if (i == length)
        break;
      if (f->head_bytes >= limits->head_bytes)
        return FRAMING_HEAD_TOO_LONG;
      f->head_bytes++;
      before = f->state;
      r = take_head_byte (f, data[i]);
      f->kept_bytes++;
      if (r == FRAMING_INVALID)
        return r;
      if (f->field_count > limits->fields)
        return FRAMING_HEAD_TOO_LONG;
      if (r == FRAMING_HEAD_DONE)
        {
          step->taken = step->head_length = i + 1;
          return end_head (f, limits);
        }
      if (before == FRAMING_FIELD_LF && is_left_out (f))
        {
          step->taken = step->head_length = i + 1;
          step->drop_from = f->kept_bytes = f->field_at;
          return FRAMING_MORE;
        }
    }
  step->taken = step->head_length = length;
  return FRAMING_MORE;
}

/* Skips empty lines before the request line.  */
static enum framing_result
take_before (struct http_framing *f, const struct framing_limits *limits,
             const char *data, size_t length, struct framing_step *step)
{
  size_t i;

  for (i = 0; i < length; i++)
    if (f->state == FRAMING_BEFORE_LF)
      {
        if (data[i] != '\n')
          return FRAMING_INVALID;
        f->state = FRAMING_BEFORE;
      }
    else if (data[i] == '\r')
      {
        if (++f->empty_lines > limits->empty_lines)
          return FRAMING_HEAD_TOO_LONG;
        f->state = FRAMING_BEFORE_LF;
      }
    else if (!is_name_byte (data[i]))
      return FRAMING_INVALID;
    else
      {
        f->state = FRAMING_LINE;
        break;
      }
  step->taken = i;
  return FRAMING_MORE;
}

static enum framing_result
take_size_digit (struct http_framing *f, const struct framing_limits *limits,
                 uint32_t digit)
{
  if (f->size_digits++ == SIZE_DIGITS_MAXIMUM)
    return FRAMING_INVALID;
  f->length = f->length * HEXADECIMAL + digit;
  if (f->body_bytes + f->length > limits->body_bytes)
    return FRAMING_BODY_TOO_LONG;
  return FRAMING_MORE;
}

static enum framing_result
take_size_byte (struct http_framing *f, const struct framing_limits *limits,
                char c)
{
  if (c >= '0' && c <= '9')
    return take_size_digit (f, limits, (uint32_t)(c - '0'));
  if (c >= 'a' && c <= 'f')
    return take_size_digit (f, limits, (uint32_t)(c - 'a') + DECIMAL);
  if (c >= 'A' && c <= 'F')
    return take_size_digit (f, limits, (uint32_t)(c - 'A') + DECIMAL);
  if (f->size_digits == 0 || (c != ';' && c != '\r'))
    return FRAMING_INVALID;
  f->state = c == ';' ? FRAMING_CHUNK_EXTENSION : FRAMING_CHUNK_LF;
  return FRAMING_MORE;
}

static void
start_chunk (struct http_framing *f)
{
  f->body_left = f->length;
  f->state = f->length == 0 ? FRAMING_TRAILER_START : FRAMING_CHUNK_DATA;
  f->length = 0;
  f->size_digits = 0;
}

/* Goes on to state NEXT if C is the byte that is expected.  */
static enum framing_result
expect_byte (struct http_framing *f, char c, char expected,
             enum framing_state next)
{
  if (c != expected)
    return FRAMING_INVALID;
  f->state = next;
  return FRAMING_MORE;
}

/* Goes on to state NEXT at a CR, and stays at other bytes of a line.  */
static enum framing_result
take_line_byte (struct http_framing *f, char c, enum framing_state next)
{
  if (c == '\r')
    f->state = next;
  else if (!is_line_byte (c))
    return FRAMING_INVALID;
  return FRAMING_MORE;
}

/* Takes C, a byte of the chunks' coding.  */
static enum framing_result
take_coding_byte (struct http_framing *f, const struct framing_limits *limits,
                  char c)
{
  enum framing_result r;

  switch (f->state)
    {
    case FRAMING_CHUNK_SIZE:
      return take_size_byte (f, limits, c);
    case FRAMING_CHUNK_EXTENSION:
      return take_line_byte (f, c, FRAMING_CHUNK_LF);
    case FRAMING_CHUNK_LF:
      r = expect_byte (f, c, '\n', FRAMING_CHUNK_DATA);
      if (r == FRAMING_MORE)
        start_chunk (f);
      return r;
    case FRAMING_CHUNK_END:
      return expect_byte (f, c, '\r', FRAMING_CHUNK_END_LF);
    case FRAMING_CHUNK_END_LF:
      return expect_byte (f, c, '\n', FRAMING_CHUNK_SIZE);
    case FRAMING_TRAILER_START:
      f->state = FRAMING_TRAILER;
      return take_line_byte (f, c, FRAMING_END_LF);
    case FRAMING_TRAILER:
      return take_line_byte (f, c, FRAMING_TRAILER_LF);
    case FRAMING_TRAILER_LF:
      return expect_byte (f, c, '\n', FRAMING_TRAILER_START);
    default: /* FRAMING_END_LF */
      return c == '\n' ? FRAMING_DONE : FRAMING_INVALID;
    }
}

static enum framing_result
take_coding (struct http_framing *f, const struct framing_limits *limits,
             const char *data, size_t length, struct framing_step *step)
{
  size_t i;

  for (i = 0; i < length && f->state != FRAMING_CHUNK_DATA; i++)
    {
      enum framing_result r = take_coding_byte (f, limits, data[i]);

      step->taken = i + 1;
      if (r != FRAMING_MORE)
        return r;
      if (++f->overhead_bytes
          > limits->head_bytes + OVERHEAD_PER_BYTE * f->body_bytes)
        return FRAMING_OVERHEAD;
    }
  return FRAMING_MORE;
}

/* Takes bytes of the body, or of a chunk.  */
static void
take_data (struct http_framing *f, const char *data, size_t length,
           struct framing_step *step)
{
  size_t n = length < f->body_left ? length : (size_t)f->body_left;

  step->body = data;
  step->body_length = step->taken = n;
  f->body_left -= n;
  f->body_bytes += n;
}

enum framing_result
http_framing_take (struct http_framing *f, const struct framing_limits *limits,
                   const char *data, size_t length, struct framing_step *step)
{
  memset (step, 0, sizeof *step);
  step->drop_from = UINT32_MAX;
  if (f->state <= FRAMING_BEFORE_LF)
    return take_before (f, limits, data, length, step);
  if (f->state <= FRAMING_HEAD_LF)
    return take_head (f, limits, data, length, step);
  if (f->state == FRAMING_BODY)
    {
      take_data (f, data, length, step);
      return f->body_left == 0 ? FRAMING_DONE : FRAMING_MORE;
    }
  if (f->state != FRAMING_CHUNK_DATA)
    return take_coding (f, limits, data, length, step);
  take_data (f, data, length, step);
  if (f->body_left == 0)
    f->state = FRAMING_CHUNK_END;
  return FRAMING_MORE;
}
