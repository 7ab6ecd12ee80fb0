#include "test/fakes/fake_control.h"

#include "lib/err.h"
#include "lib/set.h"
#include "test/fakes/raw_server.h"
#include "wire/config_part.h"
#include "wire/ctl.h"

#include <string.h>

#define FRESH_INTERVAL_US (50 * US_PER_MS)
#define WAIT_MS 20000

static void on_timer(void *arg, u64 now_us)
{
	struct fake_control *c = arg;
	FRAME_AUTO(f, CTL_FRESHNESS);

	frame_put_bool(&f, g_atomic_int_get(&c->is_fresh));
	frame_put_u64(&f, (u64)g_atomic_int_get(&c->revision));
	frame_put_u64(&f, now_us - (u64)g_atomic_int_get(&c->freshness_age_ms) * US_PER_MS);
	if (c->link)
		link_send(c->link, &f);
	loop_timer_set(c->loop, &c->timer, now_us + FRESH_INTERVAL_US);
}

static void on_up(struct link *k)
{
	((struct fake_control *)k->arg)->link = k;
}

/* Answers that the requested services have no upstream. */
static void on_subscribe(struct fake_control *c, struct link *k, struct frame_in *in)
{
	bool is_whole = frame_get_bool(in);
	u32 n = frame_get_count(in, CTL_SUBSCRIPTIONS_MAX);
	FRAME_AUTO(f, CTL_VIEW);

	if (is_whole)
		g_atomic_int_set(&c->subscribed_services, 0);
	frame_put_bool(&f, false);
	frame_put_u64(&f, 1);
	frame_put_u64(&f, n);
	for (u32 i = 0; i < n; i++) {
		g_autofree char *name = frame_get_str(in, SET_TEXT_MAX_BYTES);

		frame_put_str(&f, name);
	}
	frame_put_u64(&f, 0);
	g_atomic_int_add(&c->subscribed_services, (gint)n);
	if (g_atomic_int_get(&c->sends_views))
		link_send(k, &f);
}

static int on_frame(struct link *k, u32 type, struct frame_in *in)
{
	struct fake_control *c = k->arg;

	if (type == CTL_SUBSCRIBE)
		on_subscribe(c, k, in);
	if (type == CTL_WATCH) {
		struct config_request r;

		if (config_request_get(in, &r))
			return ERR_INVAL;
		c->request = r.number;
		c->watched_us = loop_clock_us();
		g_atomic_int_inc(&c->watches);
	}
	return 0;
}

static void on_down(struct link *k, int err)
{
	struct fake_control *c = k->arg;

	(void)err;
	if (c->link == k)
		c->link = NULL;
}

static const struct link_ops ops = { .up = on_up, .frame = on_frame, .down = on_down };

void fake_control_start(struct fake_control *c)
{
	memset(c, 0, sizeof(*c));
	c->port = raw_free_port();
	c->loop = loop_new("fake-control");
	c->self = (struct link_id){ .cluster = (char *)"breizh",
				    .role = LINK_CONTROL,
				    .name = g_strdup_printf("127.0.0.1:%u", c->port),
				    .zone = (char *)"elsewhere",
				    .region = (char *)"r",
				    .incarnation = 1 };
	c->is_fresh = 1;
	c->revision = 1;
	c->sends_views = 1;
	c->listener = link_listen(c->loop, &c->self, "127.0.0.1", c->port, &ops, c);
	g_assert_nonnull(c->listener);
	c->timer = (struct loop_timer){ .fire = on_timer, .arg = c };
	loop_timer_set(c->loop, &c->timer, loop_clock_us());
	g_assert_cmpint(loop_start(c->loop), ==, 0);
}

static void do_drop_link(void *arg)
{
	struct fake_control *c = arg;

	if (c->link)
		link_close(c->link);
	c->link = NULL;
}

void fake_control_drop_link(struct fake_control *c)
{
	loop_call(c->loop, do_drop_link, c);
}

void fake_control_wait_watches(struct fake_control *c, gint least)
{
	for (u32 i = 0; i < WAIT_MS && g_atomic_int_get(&c->watches) < least; i++)
		g_usleep(US_PER_MS);
	g_assert_cmpint(g_atomic_int_get(&c->watches), >=, least);
}

static void stop_on_loop(void *arg)
{
	struct fake_control *c = arg;

	loop_timer_cancel(c->loop, &c->timer);
	link_stop_listening(c->listener);
	do_drop_link(c);
}

void fake_control_stop(struct fake_control *c)
{
	if (!c->loop)
		return;
	loop_call(c->loop, stop_on_loop, c);
	loop_stop(c->loop);
	loop_free(c->loop);
	g_free(c->self.name);
	memset(c, 0, sizeof(*c));
}
