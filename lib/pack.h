/*
 * pack - bytes made shorter for a narrow link
 *
 * SOURCE lib/pack.c
 */
#ifndef PACK_H
#define PACK_H

#include "lib/types.h"

#include <glib.h>

/* pack_bytes - BYTES in deflate form, to be freed as an array. */
GByteArray *pack_bytes(const void *bytes, size_t len);

/*
 * unpack_bytes - the RAW_LEN bytes that were packed, to be freed as an array, or NULL when they
 * are not that many, over MAX, or damaged. No memory is taken beyond RAW_LEN.
 */
GByteArray *unpack_bytes(const void *packed, size_t len, size_t raw_len, size_t max);

#endif
