#include "test/fakes/set_change.h"

#include "lib/set.h"

GBytes *set_change_pack(u64 version, u64 base, const char *id, const char *text)
{
	struct store_change change = { .op = STORE_SET,
				       .name = (char *)SET_NAME,
				       .change_id = (char *)id,
				       .json = (char *)text,
				       .version = version,
				       .has_if_match = true,
				       .if_match = base };

	return store_change_pack(&change);
}

void set_change_apply(struct store *s, u64 version, const char *text)
{
	g_autoptr(GBytes) command = set_change_pack(version, version - 1, "", text);
	struct store_result r;

	store_apply(s, command, &r);
	g_assert_cmpint(r.status / 100, ==, 2);
}
