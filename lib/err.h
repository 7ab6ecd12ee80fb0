/*
 * err - error codes
 *
 * A function that can fail returns 0 or a count on success, and one of these
 * negative codes on failure.
 *
 * SOURCE lib/err.c
 */
#ifndef ERR_H
#define ERR_H

enum err {
	ERR_INVAL = -1, /* an argument or an input is invalid */
	ERR_IO = -2, /* the operating system reported an error */
	ERR_TIMEOUT = -3, /* the deadline passed */
	ERR_CLOSED = -4, /* the connection is closed */
	ERR_TOOBIG = -5, /* a size limit was exceeded */
	ERR_NOTFOUND = -6, /* the object does not exist */
	ERR_CONFLICT = -7, /* the given version is not the current one */
	ERR_NOTLEADER = -8, /* this replica is not the leader */
	ERR_CORRUPT = -9, /* the checksum of stored data does not match */
	ERR_BUSY = -10, /* no capacity at present */
	ERR_CANCELLED = -11, /* the caller cancelled the operation */
	ERR_REFUSED = -12, /* the connection was refused */
	ERR_TRUNCATED = -13, /* the body ended before its Content-Length */
	ERR_NO_SPACE = -14, /* the disk is full; nothing was written */
	ERR_UNCERTAIN = -15, /* the answer may belong to an earlier request */
	ERR_STATUS = -16, /* the answer has no valid status */
};

/* err_text - returns a short description of ERR, never NULL. */
const char *err_text(int err);

#endif
