#include "node/claim.h"

#include <glib.h>

void claim_clear(struct claim *c)
{
	g_free(c->disproved);
	*c = (struct claim){ 0 };
}

void claim_disprove(struct claim *c, const char *instance, u64 start_ms)
{
	claim_clear(c);
	c->is_in_doubt = true;
	c->disproved = g_strdup(instance);
	c->disproved_start_ms = start_ms;
}

void claim_end(struct claim *c)
{
	c->is_in_doubt = true;
}

bool claim_is_disproved(const struct claim *c, const char *instance, u64 start_ms)
{
	return c->disproved && c->disproved_start_ms == start_ms &&
	       !g_strcmp0(c->disproved, instance);
}

void claim_confirm(struct claim *c, const char *instance, u64 start_ms)
{
	c->is_in_doubt = false;
	if (claim_is_disproved(c, instance, start_ms))
		claim_clear(c);
}

void claim_accepted(struct claim *c, const char *instance, u64 start_ms)
{
	/* One that was disproved is used again only until another one is heard. */
	c->is_in_doubt = claim_is_disproved(c, instance, start_ms);
}
