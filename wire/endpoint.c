#include "wire/endpoint.h"

void endpoint_put(struct frame_out *f, const struct endpoint *e)
{
	frame_put_str(f, e->host);
	frame_put_u64(f, e->port);
}

void endpoint_get(struct frame_in *in, struct endpoint *e)
{
	g_autofree char *host = frame_get_str(in, sizeof(e->host) - 1);

	g_strlcpy(e->host, host, sizeof(e->host));
	e->port = (u16)frame_get_u64(in);
}
