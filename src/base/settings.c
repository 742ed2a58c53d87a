#include "base/settings.h"

#include <arpa/inet.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "base/json_check.h"

enum
{
  FILE_BYTES_MAXIMUM = 1 << 20,
  KEEPER_LIMIT = 7
};

static const struct json_rule vm_rules[] = {
  { "vm", RULE_NAME, true, 1, NAME_BYTES - 1, NULL, NULL },
  { "domain", RULE_NAME, true, 1, NAME_BYTES - 1, NULL, NULL },
  { "region", RULE_NAME, false, 1, NAME_BYTES - 1, NULL, NULL },
  { "address", RULE_TEXT, true, 2, ADDRESS_BYTES - 1, NULL, NULL },
  { "peer_port", RULE_INTEGER, true, 1, 65535, NULL, NULL },
  { "http_port", RULE_INTEGER, true, 1, 65535, NULL, NULL },
  { NULL, RULE_END, false, 0, 0, NULL, NULL },
};

static const struct json_rule timing_rules[] = {
  { "heartbeat_ms", RULE_INTEGER, false, 20, 60000, NULL, NULL },
  { "lease_ms", RULE_INTEGER, false, 100, 600000, NULL, NULL },
  { "register_window_ms", RULE_INTEGER, false, 1000, 86400000, NULL, NULL },
  { "record_timeout_ms", RULE_INTEGER, false, 10, 60000, NULL, NULL },
  { "stop_timeout_ms", RULE_INTEGER, false, 100, 600000, NULL, NULL },
  { NULL, RULE_END, false, 0, 0, NULL, NULL },
};

static const struct json_rule limit_rules[] = {
  { "body_bytes", RULE_INTEGER, false, 1024, 64 << 20, NULL, NULL },
  { "connections", RULE_INTEGER, false, 4, 60000, NULL, NULL },
  { "idle_timeout_ms", RULE_INTEGER, false, 100, 3600000, NULL, NULL },
  { NULL, RULE_END, false, 0, 0, NULL, NULL },
};

static const struct json_rule settings_rules[] = {
  { "vm", RULE_NAME, true, 1, NAME_BYTES - 1, NULL, NULL },
  { "environment", RULE_NAME, true, 1, NAME_BYTES - 1, NULL, NULL },
  { "peer_secret", RULE_TEXT, true, 16, SECRET_BYTES - 1, NULL, NULL },
  { "operator_token_sha256", RULE_TEXT, true, 64, 64, NULL, NULL },
  { "target_token_sha256", RULE_TEXT, true, 64, 64, NULL, NULL },
  { "data_folder", RULE_TEXT, false, 1, PATH_SETTING_BYTES - 1, NULL, NULL },
  { "sync_delay_ms", RULE_INTEGER, false, 0, 1000, NULL, NULL },
  { "log_level", RULE_CHOICE, false, 0, 0, NULL, "debug|info|warn|error" },
  { "timing", RULE_OBJECT, false, 0, 0, timing_rules, NULL },
  { "limits", RULE_OBJECT, false, 0, 0, limit_rules, NULL },
  { "entries", RULE_ARRAY, true, 1, VM_LIMIT - KEEPER_LIMIT, vm_rules, NULL },
  { "keepers", RULE_ARRAY, true, 1, KEEPER_LIMIT, vm_rules, NULL },
  { NULL, RULE_END, false, 0, 0, NULL, NULL },
};

static void
copy_text (char *to, size_t size, const json_t *o, const char *name,
           const char *fallback)
{
  snprintf (to, size, "%s", json_get_text (o, name, fallback));
}

int
settings_domain_index (const struct settings *s, const char *name)
{
  for (uint32_t i = 0; i < s->domain_count; i++)
    if (strcmp (s->domains[i], name) == 0)
      return (int)i;
  return -1;
}

const struct vm_settings *
settings_vm (const struct settings *s, const char *name)
{
  for (uint32_t i = 0; i < s->vm_count; i++)
    if (strcmp (s->vms[i].name, name) == 0)
      return &s->vms[i];
  return NULL;
}

static void
add_domain (struct settings *s, const char *name, const char *path,
            struct json_report *r)
{
  if (settings_domain_index (s, name) >= 0)
    return;
  if (s->domain_count == DOMAIN_LIMIT)
    {
      json_report_add (r, path, "more than %d failure domains", DOMAIN_LIMIT);
      return;
    }
  snprintf (s->domains[s->domain_count++], NAME_BYTES, "%s", name);
}

static void
check_vm (const struct settings *s, const struct vm_settings *v,
          const char *path, struct json_report *r)
{
  unsigned char parsed[sizeof (struct in6_addr)];

  if (inet_pton (AF_INET, v->address, parsed) != 1
      && inet_pton (AF_INET6, v->address, parsed) != 1)
    json_report_add (r, path, "address is not an IP number: %s", v->address);
  for (const struct vm_settings *o = s->vms; o < v; o++)
    {
      if (strcmp (o->name, v->name) == 0)
        json_report_add (r, path, "vm %s is named twice", v->name);
      if (strcmp (o->address, v->address) == 0 && o->peer_port == v->peer_port)
        json_report_add (r, path, "address and peer_port are those of %s",
                         o->name);
    }
}

static void
read_vms (struct settings *s, const json_t *root, const char *field,
          enum process_role role, struct json_report *r)
{
  json_t *array = json_object_get (root, field);
  char path[64];
  size_t i;
  json_t *o;

  json_array_foreach (array, i, o)
  {
    struct vm_settings *v = &s->vms[s->vm_count++];

    copy_text (v->name, sizeof v->name, o, "vm", "");
    copy_text (v->domain, sizeof v->domain, o, "domain", "");
    copy_text (v->region, sizeof v->region, o, "region", "default");
    copy_text (v->address, sizeof v->address, o, "address", "");
    v->peer_port = (uint16_t)json_get_integer (o, "peer_port", 0);
    v->http_port = (uint16_t)json_get_integer (o, "http_port", 0);
    v->role = role;
    snprintf (path, sizeof path, "%s[%zu]", field, i);
    check_vm (s, v, path, r);
    if (role == ROLE_ENTRY)
      add_domain (s, v->domain, path, r);
  }
}

static void
read_fields (struct settings *s, const json_t *root, struct json_report *r)
{
  const json_t *timing = json_object_get (root, "timing");
  const json_t *limits = json_object_get (root, "limits");
  const struct vm_settings *own;

  copy_text (s->vm, sizeof s->vm, root, "vm", "");
  copy_text (s->environment, sizeof s->environment, root, "environment", "");
  copy_text (s->peer_secret, sizeof s->peer_secret, root, "peer_secret", "");
  copy_text (s->operator_token_sha256, sizeof s->operator_token_sha256, root,
             "operator_token_sha256", "");
  copy_text (s->target_token_sha256, sizeof s->target_token_sha256, root,
             "target_token_sha256", "");
  copy_text (s->data_folder, sizeof s->data_folder, root, "data_folder", "");
  copy_text (s->log_level, sizeof s->log_level, root, "log_level", "info");
  s->sync_delay_ms = json_get_integer (root, "sync_delay_ms", 0);
  s->heartbeat_ms = json_get_integer (timing, "heartbeat_ms", 500);
  s->lease_ms = json_get_integer (timing, "lease_ms", 2500);
  s->register_window_ms
      = json_get_integer (timing, "register_window_ms", 900000);
  s->record_timeout_ms = json_get_integer (timing, "record_timeout_ms", 300);
  s->stop_timeout_ms = json_get_integer (timing, "stop_timeout_ms", 30000);
  s->body_bytes = (uint32_t)json_get_integer (limits, "body_bytes", 1 << 20);
  s->connections = (uint32_t)json_get_integer (limits, "connections", 4096);
  s->idle_timeout_ms = json_get_integer (limits, "idle_timeout_ms", 30000);
  read_vms (s, root, "entries", ROLE_ENTRY, r);
  read_vms (s, root, "keepers", ROLE_KEEPER, r);
  if (s->lease_ms < 3 * s->heartbeat_ms)
    json_report_add (r, "timing.lease_ms",
                     "must be at least 3 times heartbeat_ms");
  own = settings_vm (s, s->vm);
  if (own == NULL)
    {
      json_report_add (r, "vm", "is neither among entries nor keepers");
      return;
    }
  s->role = own->role;
  s->http_port = own->http_port;
  s->peer_port = own->peer_port;
  memcpy (s->address, own->address, sizeof s->address);
  memcpy (s->domain, own->domain, sizeof s->domain);
  if (s->role == ROLE_KEEPER && s->data_folder[0] == '\0')
    json_report_add (r, "data_folder", "is missing; a keeper needs one");
}

enum settings_error
settings_load (struct settings *s, const char *path, struct error *e)
{
  struct json_report report;
  size_t length;
  char *text = json_read_file (path, FILE_BYTES_MAXIMUM, &length);
  json_t *root;

  memset (s, 0, sizeof *s);
  if (text == NULL)
    return (enum settings_error)error_set (e, SETTINGS_UNREADABLE, "%s: %s",
                                           path, strerror (errno));
  root = json_check_parse (text, length, settings_rules, &report);
  free (text);
  if (root != NULL)
    {
      read_fields (s, root, &report);
      json_decref (root);
    }
  if (report.faults != 0)
    return (enum settings_error)error_set (e, SETTINGS_INVALID, "%s",
                                           report.text);
  return SETTINGS_OK;
}
