#include "wire/ctl.h"

struct frame_out *ctl_frame_new(enum ctl_type type)
{
	struct frame_out *f = g_new0(struct frame_out, 1);

	frame_begin(f, type);
	return f;
}

void ctl_frame_free(gpointer frame)
{
	frame_free(frame);
	g_free(frame);
}
