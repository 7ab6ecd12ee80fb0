#include "lib/err.h"

const char *err_text(int err)
{
	switch (err) {
	case 0:
		return "no error";
	case ERR_INVAL:
		return "invalid input";
	case ERR_IO:
		return "input/output error";
	case ERR_TIMEOUT:
		return "deadline passed";
	case ERR_CLOSED:
		return "connection closed";
	case ERR_TOOBIG:
		return "size limit exceeded";
	case ERR_NOTFOUND:
		return "not found";
	case ERR_CONFLICT:
		return "version conflict";
	case ERR_NOTLEADER:
		return "not the leader";
	case ERR_CORRUPT:
		return "checksum mismatch";
	case ERR_BUSY:
		return "no capacity";
	case ERR_CANCELLED:
		return "cancelled";
	case ERR_REFUSED:
		return "connection refused";
	case ERR_TRUNCATED:
		return "body ended early";
	case ERR_NO_SPACE:
		return "no space left on the disk";
	case ERR_UNCERTAIN:
		return "the answer may belong to an earlier request";
	case ERR_STATUS:
		return "the answer has no valid status";
	}
	return "unknown error";
}
