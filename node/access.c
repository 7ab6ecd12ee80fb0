#include "node/access.h"

static bool is_confirmed(const struct access_call *call)
{
	if (!call->limit_us)
		return true;
	return call->confirmed_us &&
	       call->confirmed_us + call->limit_us > call->now_us + ACCESS_MARGIN_US;
}

enum ctr access_decide(const struct access_call *call)
{
	switch (call->key) {
	case ACCESS_KEY_KNOWN:
		return is_confirmed(call) ? CTR_CALLS : CTR_KEY_NOT_CONFIRMED;
	case ACCESS_KEY_UNKNOWN:
		return CTR_UNKNOWN_KEY;
	default:
		return call->is_anonymous ? CTR_CALLS : CTR_NO_KEY;
	}
}
