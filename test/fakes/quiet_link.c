#include "test/fakes/quiet_link.h"

void quiet_link_up(struct link *k)
{
	(void)k;
}

int quiet_link_frame(struct link *k, u32 type, struct frame_in *in)
{
	(void)k;
	(void)type;
	(void)in;
	return 0;
}

void quiet_link_down(struct link *k, int err)
{
	(void)k;
	(void)err;
}

const struct link_ops quiet_link_ops = { .up = quiet_link_up,
					 .frame = quiet_link_frame,
					 .down = quiet_link_down };
