/*
 * err - error numbers
 *
 * Functions that can fail return 0 (or a count) on success and one of these
 * negative numbers on failure.
 *
 * SOURCE lib/err.c
 */
#ifndef ERR_H
#define ERR_H

enum err {
	ERR_INVAL = -1, /* an argument or input is not valid */
	ERR_IO = -2, /* the operating system reported a failure */
	ERR_TIMEOUT = -3, /* the deadline passed */
	ERR_CLOSED = -4, /* the connection is closed */
	ERR_TOOBIG = -5, /* a size limit was passed */
	ERR_NOTFOUND = -6, /* no such object */
	ERR_CONFLICT = -7, /* the version given is not the current one */
	ERR_NOTLEADER = -8, /* this replica is not the leader */
	ERR_CORRUPT = -9, /* stored data failed its checksum */
	ERR_BUSY = -10, /* no capacity now */
	ERR_CANCELLED = -11, /* the caller gave up */
	ERR_REFUSED = -12, /* connection refused */
	ERR_TRUNCATED = -13, /* the body ended before its announced length */
	ERR_NO_SPACE = -14, /* the disk has no room; nothing was written */
};

/* err_text - a short description of ERR; never NULL. */
const char *err_text(int err);

#endif
