/*
 * buf - buffers that are filled and emptied again
 *
 * SOURCE lib/buf.c
 */
#ifndef BUF_H
#define BUF_H

#include "lib/types.h"

#include <glib.h>

/*
 * buf_empty - returns BUF without its bytes; if it holds more than KEEP_BYTES it is freed, and the
 * result is a new one
 */
GByteArray *buf_empty(GByteArray *buf, u32 keep_bytes);

#endif
