#include "node/announcement.h"

#include "lib/http.h"

#include <string.h>

#define SLOTS_MAX 100000
/* As the longest period that a service may declare. */
#define COLD_MAX_MS (3600 * 1000)
/* The clock of a VM may be set back by seconds after its upstream has started. */
#define START_AHEAD_MAX_MS (60 * 1000)

static const char *read_number(json_t *obj, const char *key, json_int_t max, json_int_t absent,
			       json_int_t *out)
{
	json_t *value = json_object_get(obj, key);

	*out = value ? json_integer_value(value) : absent;
	if (!json_is_integer(value) && value)
		return key;
	return *out < 1 || *out > max ? key : NULL;
}

static bool copy_string(json_t *obj, const char *key, char out[ANNOUNCEMENT_NAME_BYTES])
{
	const char *text = json_string_value(json_object_get(obj, key));

	if (!text || !*text || strlen(text) >= ANNOUNCEMENT_NAME_BYTES)
		return false;
	g_strlcpy(out, text, ANNOUNCEMENT_NAME_BYTES);
	return true;
}

/* Reads "address" (host and port) or else "port" (on loopback). */
static const char *parse_address(json_t *obj, struct announcement *a)
{
	const char *address = json_string_value(json_object_get(obj, "address"));
	json_int_t port = 0;

	if (json_object_get(obj, "address"))
		return !address || endpoint_parse(&a->at, address) ? "address" : NULL;
	if (read_number(obj, "port", UINT16_MAX, 0, &port))
		return "port";
	g_strlcpy(a->at.host, "127.0.0.1", sizeof(a->at.host));
	a->at.port = (u16)port;
	return NULL;
}

static bool parse_state(json_t *obj, struct announcement *a)
{
	json_t *value = json_object_get(obj, "state");
	const char *state = json_string_value(value);

	a->is_draining = state && !strcmp(state, "draining");
	return !value || a->is_draining ||
	       (state && (!strcmp(state, "up") || !strcmp(state, "ready")));
}

/* Reads "cold_ms", for which a fraction is allowed. */
static const char *read_cold(json_t *obj, struct announcement *a)
{
	json_t *value = json_object_get(obj, "cold_ms");

	a->has_cold = value != NULL;
	if (!value)
		return NULL;
	if (!json_is_number(value) || json_number_value(value) < 0)
		return "cold_ms";
	a->cold_ms = (u64)MIN(json_number_value(value), (double)COLD_MAX_MS);
	return NULL;
}

/* An announcement of another writer would take the place of the node's own upstream. */
static bool is_own_service(const char *service, const char *own)
{
	return !own || !strcmp(service, own);
}

const char *announcement_parse(struct announcement *a, json_t *obj, const char *own_service)
{
	const char *invalid_key;

	if (!json_is_object(obj))
		return "(not a JSON object)";
	if (!parse_state(obj, a))
		return "state";
	if (a->is_draining && !json_object_get(obj, "service"))
		return NULL;
	if (!copy_string(obj, "service", a->service) || !is_own_service(a->service, own_service))
		return "service";
	a->has_details = true;
	invalid_key = parse_address(obj, a);
	if (!invalid_key)
		invalid_key = read_number(obj, "slots", SLOTS_MAX, 1, &a->slots);
	if (!invalid_key)
		invalid_key = read_number(obj, "connections", SLOTS_MAX, a->slots, &a->connections);
	if (!invalid_key)
		invalid_key = read_cold(obj, a);
	return invalid_key;
}

/* A start in the future would make the upstream's own announcements stale. */
static u64 latest_start_ms(void)
{
	return (u64)g_get_real_time() / US_PER_MS + START_AHEAD_MAX_MS;
}

static bool is_text(const json_t *value)
{
	return json_is_string(value) && *json_string_value(value);
}

static bool is_duration(const json_t *value)
{
	return json_is_number(value) && json_number_value(value) >= 0;
}

static bool is_integer(const json_t *value)
{
	return json_is_integer(value);
}

/* What every announcement of an instance says; the ranges are checked where a value is read. */
static const struct instance_field {
	const char *key;
	bool (*is_valid)(const json_t *value); /* false for NULL */
} instance_fields[] = {
	{ "service", is_text },	    { "address", is_text },  { "zone", is_text },
	{ "version", is_text },	    { "slots", is_integer }, { "state", is_text },
	{ "cold_ms", is_duration }, { "born", is_integer },  { "sequence", is_integer },
};

/* Returns NULL, or the first key that is missing or of another type. */
static const char *find_invalid_field(json_t *obj)
{
	for (size_t i = 0; i < G_N_ELEMENTS(instance_fields); i++) {
		const struct instance_field *f = &instance_fields[i];

		if (!f->is_valid(json_object_get(obj, f->key)))
			return f->key;
	}
	return NULL;
}

/*
 * An announcement in which anything is missing may be that of another writer, and names no
 * upstream, also by the fields that it has.
 */
const char *announcement_parse_instance(struct announcement *a, json_t *obj, const char *instance,
					const char *own_service)
{
	const char *invalid_key = announcement_parse(a, obj, own_service);

	if (!invalid_key)
		invalid_key = find_invalid_field(obj);
	if (invalid_key)
		return invalid_key;
	g_strlcpy(a->instance, instance, sizeof(a->instance));
	invalid_key = read_number(obj, "born", (json_int_t)latest_start_ms(), 0, &a->born);
	return invalid_key ? invalid_key : read_number(obj, "sequence", INT64_MAX, 0, &a->sequence);
}

bool announcement_is_instance_name(const char *text)
{
	size_t len = strlen(text);

	return http_is_word(text) && !strchr(text, '/') && len < ANNOUNCEMENT_NAME_BYTES;
}
