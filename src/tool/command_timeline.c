/* The time line: the events of all processes, merged in the order of their
   hybrid logical clocks.  */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include "base/json_check.h"
#include "tool/command.h"
#include "tool/http_client.h"

enum
{
  LANE_HEIGHT = 44,
  LANE_LEFT = 120,
  IMAGE_WIDTH = 1400,
  DOT_RADIUS = 3
};

static int
compare_clocks (const void *a, const void *b)
{
  int64_t x = json_get_integer (*(json_t *const *)a, "clock", 0);
  int64_t y = json_get_integer (*(json_t *const *)b, "clock", 0);

  return x < y ? -1 : x > y;
}

static bool
matches_filter (const struct tool_options *o, const json_t *e)
{
  if (o->vm != NULL && strcmp (json_get_text (e, "vm", ""), o->vm) != 0)
    return false;
  return o->event == 0 || json_get_integer (e, "number", 0) == o->event;
}

static void
print_text (json_t *const *events, size_t count)
{
  for (size_t i = 0; i < count; i++)
    {
      const json_t *e = events[i];
      int64_t wall_ms = json_get_integer (e, "wall_ms", 0);
      time_t seconds = (time_t)(wall_ms / 1000);
      const char *detail = json_get_text (e, "detail", "");
      struct tm t;
      char clock[16];

      gmtime_r (&seconds, &t);
      strftime (clock, sizeof clock, "%H:%M:%S", &t);
      printf ("%s.%03d %-14s %3lld %-18s %s  %s%s%s\n", clock,
              (int)(wall_ms % 1000), json_get_text (e, "vm", ""),
              (long long)json_get_integer (e, "number", 0),
              json_get_text (e, "event", ""), json_get_text (e, "key", ""),
              json_get_text (e, "text", ""), detail[0] == '\0' ? "" : ": ",
              detail);
    }
}

static void
print_json (json_t *const *events, size_t count)
{
  json_t *array = json_array ();

  for (size_t i = 0; i < count; i++)
    json_array_append (array, events[i]);
  command_print_json (array);
  json_decref (array);
}

static int
lane_of (json_t *lanes, const char *vm)
{
  json_t *lane = json_object_get (lanes, vm);

  if (lane == NULL)
    {
      lane = json_integer ((json_int_t)json_object_size (lanes));
      json_object_set_new (lanes, vm, lane);
    }
  return (int)json_integer_value (lane);
}

static void
print_escaped (const char *text)
{
  for (; *text != '\0'; text++)
    switch (*text)
      {
      case '<':
        fputs ("&lt;", stdout);
        break;
      case '&':
        fputs ("&amp;", stdout);
        break;
      default:
        putchar (*text);
      }
}

static void
print_dot (const json_t *e, int lane, double x)
{
  int64_t number = json_get_integer (e, "number", 0);

  printf ("<circle cx=\"%.1f\" cy=\"%d\" r=\"%d\" fill=\"hsl(%d,70%%,40%%)\">"
          "<title>",
          x, LANE_HEIGHT * (lane + 1), DOT_RADIUS, (int)(number * 47 % 360));
  printf ("%" PRId64 " %s ", number, json_get_text (e, "event", ""));
  print_escaped (json_get_text (e, "key", ""));
  putchar (' ');
  print_escaped (json_get_text (e, "detail", ""));
  printf ("</title></circle>\n");
}

/* Draws a lane per VM and a dot per event, with time from left to right.  */
static void
print_svg (json_t *const *events, size_t count)
{
  int64_t first = count == 0 ? 0 : json_get_integer (events[0], "wall_ms", 0);
  int64_t last
      = count == 0 ? 0 : json_get_integer (events[count - 1], "wall_ms", 0);
  double scale = (double)(IMAGE_WIDTH - LANE_LEFT - 20)
                 / (last > first ? (double)(last - first) : 1);
  json_t *lanes = json_object ();
  const char *vm;
  json_t *lane;

  for (size_t i = 0; i < count; i++)
    lane_of (lanes, json_get_text (events[i], "vm", ""));
  printf ("<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%d\" "
          "height=\"%zu\" font-family=\"sans-serif\" font-size=\"12\">\n",
          IMAGE_WIDTH, (json_object_size (lanes) + 2) * LANE_HEIGHT);
  json_object_foreach (lanes, vm, lane)
  {
    int y = LANE_HEIGHT * ((int)json_integer_value (lane) + 1);

    printf ("<text x=\"4\" y=\"%d\">%s</text><line x1=\"%d\" y1=\"%d\" "
            "x2=\"%d\" y2=\"%d\" stroke=\"#bbb\"/>\n",
            y + 4, vm, LANE_LEFT, y, IMAGE_WIDTH, y);
  }
  for (size_t i = 0; i < count; i++)
    print_dot (
        events[i], lane_of (lanes, json_get_text (events[i], "vm", "")),
        LANE_LEFT
            + scale
                  * (double)(json_get_integer (events[i], "wall_ms", first)
                             - first));
  printf ("<text x=\"%d\" y=\"%zu\">%lld ms from first to last event</text>\n"
          "</svg>\n",
          LANE_LEFT, (json_object_size (lanes) + 1) * LANE_HEIGHT + 10,
          (long long)(last - first));
  json_decref (lanes);
}

/* Appends the matching events of SERVER to ALL.  Returns false if the request
   failed.  */
static bool
fetch_events (const struct tool_options *o, const char *server, json_t *all)
{
  struct http_response r;
  char path[256];
  json_t *e;
  size_t i;

  snprintf (path, sizeof path, "/v1/events?limit=%lld%s%s",
            (long long)o->limit,
            o->match == NULL ? "" : "&key=", o->match == NULL ? "" : o->match);
  http_client_call (server, "GET", path, o->token, NULL, o->timeout_ms, &r);
  if (r.status != 200)
    {
      fprintf (stderr, "%s: cannot fetch events\n", server);
      http_response_done (&r);
      return false;
    }
  json_array_foreach (json_object_get (r.body, "events"), i,
                      e) if (matches_filter (o, e)) json_array_append (all, e);
  http_response_done (&r);
  return true;
}

enum tool_exit
command_timeline (const struct tool_options *o)
{
  json_t *all = json_array ();
  enum tool_exit status = TOOL_OK;
  json_t **sorted;
  size_t count;

  for (uint32_t i = 0; i < o->server_count; i++)
    if (!fetch_events (o, o->servers[i], all))
      status = TOOL_UNREACHABLE;
  count = json_array_size (all);
  sorted = calloc (count + 1, sizeof *sorted);
  for (size_t i = 0; i < count; i++)
    sorted[i] = json_array_get (all, i);
  qsort (sorted, count, sizeof *sorted, compare_clocks);
  if (o->json || strcmp (o->format, "json") == 0)
    print_json (sorted, count);
  else if (strcmp (o->format, "svg") == 0)
    print_svg (sorted, count);
  else
    print_text (sorted, count);
  free (sorted);
  json_decref (all);
  return status;
}
