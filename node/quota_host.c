#include "node/quota_host.h"

#include "lib/err.h"
#include "node/node.h"
#include "wire/ctl.h"

struct quota_host {
	struct node *node;
	struct quota quota;
	struct loop_timer timer;
};

static void schedule(struct quota_host *h)
{
	u64 due = quota_due_us(&h->quota);

	if (due == UINT64_MAX)
		loop_timer_cancel(h->node->loop, &h->timer);
	else
		loop_timer_set(h->node->loop, &h->timer, due);
}

static void report(struct quota_host *h)
{
	struct quota_call *call;

	while ((call = quota_next_decided(&h->quota))) {
		struct quota_ticket *t = (struct quota_ticket *)call;

		t->decided(t);
	}
}

static void send_request(struct quota_host *h, u64 now_us)
{
	__attribute__((cleanup(quota_request_clear))) struct quota_request request = { 0 };
	struct link *k = watch_link(h->node);
	FRAME_AUTO(f, CTL_QUOTA_REQUEST);

	quota_request_init(&request);
	if (!quota_step(&h->quota, &request, now_us) || !k)
		return;
	quota_request_put(&f, &request);
	link_send(k, &f);
}

static void on_timer(void *arg, u64 now_us)
{
	struct quota_host *h = arg;

	send_request(h, now_us);
	report(h);
	schedule(h);
}

void quota_host_start(struct node *n)
{
	struct quota_host *h = g_new0(struct quota_host, 1);

	h->node = n;
	h->timer = (struct loop_timer){ .fire = on_timer, .arg = h };
	quota_init(&h->quota);
	n->quotas = h;
}

void quota_host_stop(struct node *n)
{
	if (!n->quotas)
		return;
	loop_timer_cancel(n->loop, &n->quotas->timer);
	quota_clear(&n->quotas->quota);
	g_clear_pointer(&n->quotas, g_free);
}

void quota_host_ask(struct node *n, struct quota_ticket *t, u64 target_us)
{
	quota_add(&n->quotas->quota, &t->call, target_us, loop_clock_us());
	schedule(n->quotas);
}

void quota_host_cancel(struct node *n, struct quota_ticket *t)
{
	quota_remove(&n->quotas->quota, &t->call);
	schedule(n->quotas);
}

void quota_host_return(struct node *n, u64 organisation)
{
	if (!n->quotas)
		return;
	quota_return(&n->quotas->quota, organisation, loop_clock_us());
	schedule(n->quotas);
}

void quota_host_abandon_all(struct node *n)
{
	if (!n->quotas)
		return;
	quota_abandon_all(&n->quotas->quota);
	report(n->quotas);
	schedule(n->quotas);
}

int quota_host_receive(struct node *n, struct frame_in *in)
{
	__attribute__((cleanup(quota_grant_clear))) struct quota_grant grant = { 0 };

	quota_grant_init(&grant);
	quota_grant_get(in, &grant);
	if (frame_done(in))
		return ERR_INVAL;
	quota_receive(&n->quotas->quota, &grant, loop_clock_us());
	report(n->quotas);
	schedule(n->quotas);
	return 0;
}
