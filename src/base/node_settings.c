#include "base/node_settings.h"

#include <arpa/inet.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "base/connection_memory.h"
#include "base/json_check.h"

enum
{
  FILE_BYTES_MAXIMUM = 1 << 20,
  PORT_MAXIMUM = 65535,
  BODY_BYTES = 1 << 20,
  CPU_MILLI_MAXIMUM = 1024 * 1000,

  /* File descriptors reserved for peers, targets and files; the others are
     for callers' connections.  */
  RESERVED_DESCRIPTORS = 800,
  DESCRIPTORS_MINIMUM = 1000,

  IDLE_TIMEOUT_MS = 60000,

  /* Of the memory, the part for what clients of the main port send, and for
     those of each small port.  */
  MAIN_PORT_MEMORY_PART = 4,
  SMALL_PORT_MEMORY_PART = 32,
  MB_BYTES = 1 << 20,

  /* And the part in 32nds for the connections of each, with those that are not
     yet accepted: what each takes by itself and what the kernel holds of it
     unread.  The rest is for the process's own state, and for what is made of
     a request while it is answered (docs/design/09).  */
  MAIN_PORT_CONNECTION_PARTS = 12,
  SMALL_PORT_CONNECTION_PARTS = 1,
  CONNECTION_PARTS = 32,
  CONNECTION_MEMORY_BYTES = CONNECTION_BYTES + CONNECTION_UNREAD_BYTES,

  /* Of a port's connections, the part that may wait to be accepted.  */
  BACKLOG_PART = 4,
  BACKLOG_MAXIMUM = 256,

  /* A small port has one of so many of the descriptors for connections, and at
     most SMALL_PORT_CONNECTIONS.  */
  SMALL_PORT_CONNECTIONS_PART = 8,
  SMALL_PORT_CONNECTIONS = 64,
  SMALL_PORTS = 2,
  SMALL_PORT_BODY_BYTES = 16384,

  DEFAULT_FAR_FACTOR = 2,
  DEFAULT_CATCH_UP_S = 4,

  /* Below the minimum nothing is left of a job's lease (coord/job_lease) when
     it is renewed.  */
  CALLER_RETRY_MS_MINIMUM = 750,
  DEFAULT_CALLER_RETRY_MS = 1300
};

static const struct json_rule node_rules[] = {
  { "vm", RULE_TEXT, true, 1, NAME_BYTES - 1, NULL, NULL },
  { "role", RULE_CHOICE, true, 0, 0, NULL, "entry|keeper" },
  { "environment", RULE_NAME, true, 1, NAME_BYTES - 1, NULL, NULL },
  { "address", RULE_TEXT, true, 7, ADDRESS_BYTES - 1, NULL, NULL },
  { "domain", RULE_TEXT, true, 1, NAME_BYTES - 1, NULL, NULL },
  { "peer_port", RULE_INTEGER, true, 1, PORT_MAXIMUM, NULL, NULL },
  { "peer_listen_port", RULE_INTEGER, false, 0, PORT_MAXIMUM, NULL, NULL },
  { "peer_secret", RULE_TEXT, true, 16, SECRET_BYTES - 1, NULL, NULL },
  { "callers", RULE_TEXT, false, 0, ADDRESS_BYTES + 8, NULL, NULL },
  { "readiness", RULE_TEXT, false, 0, ADDRESS_BYTES + 8, NULL, NULL },
  { "control", RULE_TEXT, false, 0, ADDRESS_BYTES + 8, NULL, NULL },
  { "metrics_port", RULE_INTEGER, false, 0, PORT_MAXIMUM, NULL, NULL },
  { "seeds", RULE_ARRAY, true, 1, SEED_LIMIT, NULL, NULL },
  { "first_start", RULE_BOOLEAN, true, 0, 0, NULL, NULL },
  { "lost_keepers", RULE_INTEGER, true, 0, 3, NULL, NULL },
  { "catch_up_s", RULE_REAL, false, 1, 600, NULL, NULL },
  { "data_folder", RULE_ANY, false, 0, 0, NULL, NULL },
  { "descriptors", RULE_INTEGER, true, DESCRIPTORS_MINIMUM, 1 << 20, NULL,
    NULL },
  { "lease_limit_ms", RULE_INTEGER, true, 200, 60000, NULL, NULL },
  { "caller_retry_ms", RULE_INTEGER, false, CALLER_RETRY_MS_MINIMUM, 60000,
    NULL, NULL },
  { "stop_grace_s", RULE_REAL, true, 1, 600, NULL, NULL },
  { "far_factor", RULE_REAL, false, 1, 100, NULL, NULL },
  { "log_level", RULE_CHOICE, false, 0, 0, NULL, "debug|info|warn|error" },
  { "memory_mb", RULE_INTEGER, false, 16, 1 << 20, NULL, NULL },
  { "clients", RULE_ANY, false, 0, 0, NULL, NULL },
  { "cpu_milli", RULE_INTEGER, false, 1, CPU_MILLI_MAXIMUM, NULL, NULL },
  { "cpu_share", RULE_REAL, false, 0.001, 1024, NULL, NULL },
  { "cores", RULE_REAL, false, 0.001, 1024, NULL, NULL },
  { "domains", RULE_ANY, false, 0, 0, NULL, NULL },
  { NULL, RULE_END, false, 0, 0, NULL, NULL },
};

/* The members of "clients".  */
static const struct json_rule client_rules[] = {
  { "header_bytes", RULE_INTEGER, false, 1024, 1 << 20, NULL, NULL },
  { "body_bytes", RULE_INTEGER, false, 1024, 64 << 20, NULL, NULL },
  { "header_timeout_ms", RULE_INTEGER, false, 100, 600000, NULL, NULL },
  { "body_timeout_ms", RULE_INTEGER, false, 100, 600000, NULL, NULL },
  { "answer_timeout_ms", RULE_INTEGER, false, 100, 600000, NULL, NULL },
  { "idle_timeout_ms", RULE_INTEGER, false, 100, 3600000, NULL, NULL },
  { NULL, RULE_END, false, 0, 0, NULL, NULL },
};

bool
endpoint_parse (struct endpoint *a, const char *text)
{
  const char *colon = strrchr (text, ':');
  struct in_addr parsed;
  char *end;
  long port;

  memset (a, 0, sizeof *a);
  if (colon == NULL || (size_t)(colon - text) >= sizeof a->address)
    return false;
  memcpy (a->address, text, (size_t)(colon - text));
  port = strtol (colon + 1, &end, 10);
  if (*end != '\0' || port < 1 || port > PORT_MAXIMUM
      || inet_pton (AF_INET, a->address, &parsed) != 1)
    return false;
  a->port = (uint16_t)port;
  return true;
}

static void
read_endpoint (struct endpoint *a, const json_t *root, const char *name,
               struct json_report *r)
{
  const char *text = json_get_text (root, name, "");

  memset (a, 0, sizeof *a);
  if (text[0] != '\0' && !endpoint_parse (a, text))
    json_report_add (r, name, "is not an IP number and a port: %s", text);
}

static void
read_seeds (struct node_settings *s, const json_t *root, struct json_report *r)
{
  const json_t *array = json_object_get (root, "seeds");
  char path[32];
  size_t i;
  json_t *o;

  json_array_foreach (array, i, o)
  {
    const char *text = json_string_value (o);

    if (text == NULL || !endpoint_parse (&s->seeds[s->seed_count], text))
      {
        snprintf (path, sizeof path, "seeds[%zu]", i);
        json_report_add (r, path, "is not an IP number and a port: %s",
                         text == NULL ? "not a text" : text);
        continue;
      }
    s->seed_count++;
  }
}

/* Reads the names of the failure domains, the members of "domains"; their
   values, the regions, are not used.  */
static void
read_domains (struct node_settings *s, const json_t *root,
              struct json_report *r)
{
  json_t *domains = json_object_get (root, "domains");
  const char *name;
  json_t *region;

  if (domains == NULL || json_is_null (domains))
    return;
  if (!json_is_object (domains)
      || json_object_size (domains) > KNOWN_DOMAIN_LIMIT)
    {
      json_report_add (r, "domains", "is not an object of at most %d domains",
                       KNOWN_DOMAIN_LIMIT);
      return;
    }
  json_object_foreach (domains, name, region)
  {
    if (name[0] == '\0' || strlen (name) >= NAME_BYTES)
      json_report_add (r, "domains", "has a name of no or too many bytes: %s",
                       name);
    else
      snprintf (s->domains[s->domain_count++], NAME_BYTES, "%s", name);
  }
}

bool
node_settings_knows_domain (const struct node_settings *s, const char *domain)
{
  for (uint32_t i = 0; i < s->domain_count; i++)
    if (strcmp (s->domains[i], domain) == 0)
      return true;
  return s->domain_count == 0;
}

static void
read_peer (struct node_settings *s, const json_t *root, struct json_report *r)
{
  struct settings *p = &s->peer;
  const json_t *folder = json_object_get (root, "data_folder");
  struct in_addr parsed;

  snprintf (p->vm, sizeof p->vm, "%.*s", NAME_BYTES - 1,
            json_get_text (root, "address", ""));
  snprintf (p->address, sizeof p->address, "%s",
            json_get_text (root, "address", ""));
  snprintf (p->domain, sizeof p->domain, "%s",
            json_get_text (root, "domain", ""));
  snprintf (p->environment, sizeof p->environment, "%s",
            json_get_text (root, "environment", ""));
  snprintf (p->peer_secret, sizeof p->peer_secret, "%s",
            json_get_text (root, "peer_secret", ""));
  snprintf (p->log_level, sizeof p->log_level, "%s",
            json_get_text (root, "log_level", "info"));
  if (json_is_string (folder))
    snprintf (p->data_folder, sizeof p->data_folder, "%s",
              json_string_value (folder));
  else if (folder != NULL && !json_is_null (folder))
    json_report_add (r, "data_folder", "must be a text or null");
  if (inet_pton (AF_INET, p->address, &parsed) != 1)
    json_report_add (r, "address", "is not an IP number: %s", p->address);
  p->role = s->role;
  p->peer_port = (uint16_t)json_get_integer (root, "peer_port", 0);
  p->peer_listen_port
      = (uint16_t)json_get_integer (root, "peer_listen_port", 0);
  p->open_membership = true;
  p->body_bytes = BODY_BYTES;
  p->idle_timeout_ms = IDLE_TIMEOUT_MS;
  p->connections = (uint32_t)json_get_integer (root, "descriptors", 0)
                   - RESERVED_DESCRIPTORS;
}

/* The processor of this VM; see struct node_settings.  */
static uint32_t
read_cpu_milli (const json_t *root)
{
  double share = json_get_real (root, "cpu_share", 0);
  double cores = json_get_real (root, "cores", 1);
  int64_t given = json_get_integer (root, "cpu_milli", 0);
  double milli = given != 0 ? (double)given : share * cores * 1000;

  return (uint32_t)(milli < CPU_MILLI_MAXIMUM ? milli + 0.5
                                              : CPU_MILLI_MAXIMUM);
}

/* Removes the members of ROOT that have no rule in RULES.  */
static void
remove_unknown (json_t *root, const struct json_rule *rules)
{
  const char *name;
  json_t *value;
  void *next;

  json_object_foreach_safe (root, next, name, value)
  {
    const struct json_rule *rule = rules;

    while (rule->kind != RULE_END && strcmp (rule->name, name) != 0)
      rule++;
    if (rule->kind == RULE_END)
      json_object_del (root, name);
  }
}

/* Reads "clients" and "memory_mb".  */
static void
read_clients (struct node_settings *s, json_t *root, struct json_report *r)
{
  json_t *clients = json_object_get (root, "clients");
  struct settings *p = &s->peer;

  s->memory_mb = (uint32_t)json_get_integer (root, "memory_mb", 0);
  if (clients == NULL || json_is_null (clients))
    return;
  if (!json_is_object (clients))
    {
      json_report_add (r, "clients", "must be an object or null");
      return;
    }
  remove_unknown (clients, client_rules);
  json_check_object (clients, client_rules, "clients", r);
  if (r->faults != 0)
    return;
  p->head_bytes = (uint32_t)json_get_integer (clients, "header_bytes", 0);
  p->body_bytes
      = (uint32_t)json_get_integer (clients, "body_bytes", p->body_bytes);
  p->head_timeout_ms = json_get_integer (clients, "header_timeout_ms", 0);
  p->body_timeout_ms = json_get_integer (clients, "body_timeout_ms", 0);
  p->answer_timeout_ms = json_get_integer (clients, "answer_timeout_ms", 0);
  p->idle_timeout_ms
      = json_get_integer (clients, "idle_timeout_ms", p->idle_timeout_ms);
}

/* The connections of each small port.  */
static uint32_t
small_connections (const struct settings *p)
{
  uint32_t part = p->connections / SMALL_PORT_CONNECTIONS_PART;

  return part < SMALL_PORT_CONNECTIONS ? part : SMALL_PORT_CONNECTIONS;
}

/* Limits the connections of OWN, a port that has PARTS of MEMORY for them.  */
static void
limit_connections (struct settings *own, uint64_t memory, uint32_t parts)
{
  uint64_t fitting
      = memory / CONNECTION_PARTS * parts / CONNECTION_MEMORY_BYTES;
  uint32_t backlog;

  own->backlog = BACKLOG_MAXIMUM;
  if (memory == 0)
    return;
  backlog = (uint32_t)(fitting / BACKLOG_PART);
  if (backlog < own->backlog)
    own->backlog = backlog;
  if (fitting - own->backlog < own->connections)
    own->connections = (uint32_t)(fitting - own->backlog);
}

void
node_settings_port (const struct node_settings *s, const struct endpoint *a,
                    enum node_port kind, struct settings *own)
{
  uint64_t memory = (uint64_t)s->memory_mb * MB_BYTES;
  uint32_t small = small_connections (&s->peer);

  *own = s->peer;
  memcpy (own->address, a->address, sizeof own->address);
  own->http_port = a->port;
  if (kind == NODE_PORT_SMALL)
    {
      own->connections = small;
      own->body_bytes = SMALL_PORT_BODY_BYTES;
      own->client_bytes = memory / SMALL_PORT_MEMORY_PART;
      limit_connections (own, memory, SMALL_PORT_CONNECTION_PARTS);
      return;
    }
  own->connections -= SMALL_PORTS * small;
  own->client_bytes = memory / MAIN_PORT_MEMORY_PART;
  limit_connections (own, memory, MAIN_PORT_CONNECTION_PARTS);
}

static void
read_fields (struct node_settings *s, json_t *root, struct json_report *r)
{
  snprintf (s->name, sizeof s->name, "%s", json_get_text (root, "vm", ""));
  s->role = strcmp (json_get_text (root, "role", ""), "keeper") == 0
                ? ROLE_KEEPER
                : ROLE_ENTRY;
  read_peer (s, root, r);
  read_clients (s, root, r);
  read_endpoint (&s->callers, root, "callers", r);
  read_endpoint (&s->readiness, root, "readiness", r);
  read_endpoint (&s->control, root, "control", r);
  memcpy (s->metrics.address, s->peer.address, sizeof s->metrics.address);
  s->metrics.port = (uint16_t)json_get_integer (root, "metrics_port", 0);
  read_seeds (s, root, r);
  read_domains (s, root, r);
  s->first_start = json_get_boolean (root, "first_start", false);
  s->lost_keepers = (uint32_t)json_get_integer (root, "lost_keepers", 1);
  s->catch_up_ms
      = (int64_t)(json_get_real (root, "catch_up_s", DEFAULT_CATCH_UP_S)
                  * 1000);
  s->lease_limit_ms = json_get_integer (root, "lease_limit_ms", 0);
  s->caller_retry_ms
      = json_get_integer (root, "caller_retry_ms", DEFAULT_CALLER_RETRY_MS);
  s->far_factor = json_get_real (root, "far_factor", DEFAULT_FAR_FACTOR);
  s->cpu_milli = read_cpu_milli (root);
  s->stop_grace_ms = (int64_t)(json_get_real (root, "stop_grace_s", 0) * 1000);
  if (s->role == ROLE_KEEPER && s->peer.data_folder[0] == '\0')
    json_report_add (r, "data_folder", "is missing; a keeper needs one");
  if (s->role == ROLE_KEEPER && s->control.port == 0)
    json_report_add (r, "control", "is missing; a keeper needs one");
  if (s->role == ROLE_ENTRY && s->callers.port == 0)
    json_report_add (r, "callers", "is missing; an entry needs one");
}

enum settings_error
node_settings_load (struct node_settings *s, const char *path, struct error *e)
{
  struct json_report report;
  json_error_t fault;
  size_t length;
  char *text = json_read_file (path, FILE_BYTES_MAXIMUM, &length);
  json_t *root;

  memset (s, 0, sizeof *s);
  if (text == NULL)
    return (enum settings_error)error_set (e, SETTINGS_UNREADABLE, "%s: %s",
                                           path, strerror (errno));
  json_report_init (&report);
  root = json_loadb (text, length, JSON_REJECT_DUPLICATES, &fault);
  free (text);
  if (!json_is_object (root))
    {
      json_decref (root);
      return (enum settings_error)error_set (
          e, SETTINGS_INVALID, "%s, line %d: %s", path, fault.line,
          root == NULL ? fault.text : "is not an object");
    }
  remove_unknown (root, node_rules);
  json_check_object (root, node_rules, "", &report);
  if (report.faults == 0)
    read_fields (s, root, &report);
  json_decref (root);
  if (report.faults != 0)
    return (enum settings_error)error_set (e, SETTINGS_INVALID, "%s",
                                           report.text);
  return SETTINGS_OK;
}
