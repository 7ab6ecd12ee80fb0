/* Organisations of a set in frames. */
#include "lib/set_frame.h"

#include "lib/err.h"

#include <endian.h>
#include <string.h>
#include <xxhash.h>

/* The seed makes the hash of an organisation differ from those of services. */
#define ORGANISATION_SEED 2
#define NAME_MAX_BYTES 64
#define KEYS_MAX 64

u64 set_organisation_hash(const struct set_organisation *o)
{
	u64 numbers[] = { htole64(o->has_priority), htole64(o->priority),
			  htole64(o->rate_milli_per_s), htole64(o->burst) };
	u64 hash = XXH64(o->name, strlen(o->name), ORGANISATION_SEED);

	hash = XXH64(numbers, sizeof(numbers), hash);
	return o->keys->len ? XXH64(o->keys->data, o->keys->len * sizeof(struct set_digest), hash) :
			      hash;
}

static int hex_value(char c)
{
	return c >= '0' && c <= '9' ? c - '0' : c - 'a' + 10;
}

static void put_key(struct frame_out *f, const struct set_digest *key)
{
	u8 bytes[SET_DIGEST_BYTES];

	for (u32 i = 0; i < SET_DIGEST_BYTES; i++)
		bytes[i] = (u8)(hex_value(key->text[2 * i]) * 16 + hex_value(key->text[2 * i + 1]));
	frame_put_bin(f, bytes, sizeof(bytes));
}

static void get_key(struct frame_in *in, struct set_digest *key)
{
	static const char digits[] = "0123456789abcdef";
	size_t len;
	const u8 *bytes = frame_get_bin(in, &len);

	memset(key, 0, sizeof(*key));
	if (in->err || len != SET_DIGEST_BYTES) {
		in->err = ERR_INVAL;
		return;
	}
	for (u32 i = 0; i < SET_DIGEST_BYTES; i++) {
		key->text[2 * i] = digits[bytes[i] / 16];
		key->text[2 * i + 1] = digits[bytes[i] % 16];
	}
}

void set_organisation_put(struct frame_out *f, const struct set_organisation *o)
{
	frame_put_str(f, o->name);
	frame_put_bool(f, o->has_priority);
	frame_put_u64(f, o->priority);
	frame_put_u64(f, o->rate_milli_per_s);
	frame_put_u64(f, o->burst);
	frame_put_u64(f, o->keys->len);
	for (guint i = 0; i < o->keys->len; i++)
		put_key(f, &g_array_index(o->keys, struct set_digest, i));
}

struct set_organisation *set_organisation_get(struct frame_in *in)
{
	struct set_organisation *o = set_organisation_new();
	u32 keys;

	o->name = frame_get_str(in, NAME_MAX_BYTES);
	o->has_priority = frame_get_bool(in);
	o->priority = (u32)frame_get_u64(in);
	o->rate_milli_per_s = frame_get_u64(in);
	o->burst = frame_get_u64(in);
	keys = frame_get_count(in, KEYS_MAX);
	for (u32 i = 0; i < keys && !in->err; i++) {
		struct set_digest key;

		get_key(in, &key);
		g_array_append_val(o->keys, key);
	}
	if (in->err)
		g_clear_pointer(&o, set_organisation_free);
	return o;
}
