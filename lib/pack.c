#include "lib/pack.h"

#include <zlib.h>

/* Routes differ in their names alone: more effort finds little more. */
#define LEVEL Z_BEST_SPEED

GByteArray *pack_bytes(const void *bytes, size_t len)
{
	uLongf packed_len = compressBound(len);
	GByteArray *out = g_byte_array_sized_new((guint)packed_len);

	g_byte_array_set_size(out, (guint)packed_len);
	compress2(out->data, &packed_len, bytes, len, LEVEL);
	g_byte_array_set_size(out, (guint)packed_len);
	return out;
}

GByteArray *unpack_bytes(const void *packed, size_t len, size_t raw_len, size_t max)
{
	g_autoptr(GByteArray) out = NULL;
	uLongf got = raw_len;

	if (!raw_len || raw_len > max)
		return NULL;
	out = g_byte_array_sized_new((guint)raw_len);
	g_byte_array_set_size(out, (guint)raw_len);
	if (uncompress(out->data, &got, packed, len) != Z_OK || got != raw_len)
		return NULL;
	return g_steal_pointer(&out);
}
