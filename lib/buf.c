#include "lib/buf.h"

GByteArray *buf_empty(GByteArray *buf, u32 keep_bytes)
{
	if (buf->len <= keep_bytes)
		return g_byte_array_set_size(buf, 0);
	g_byte_array_unref(buf);
	return g_byte_array_new();
}
