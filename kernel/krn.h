/*
 * krn - the micro-kernel: named services, started and stopped in order of need
 *
 * A service is a struct whose first member is struct krn_service. Services
 * find each other with krn_find.
 *
 * SOURCE kernel/krn.c
 */
#ifndef KRN_H
#define KRN_H

#include <glib.h>

struct krn;
struct krn_service;
struct settings;

struct krn_ops {
	const char *name;
	const char *const *needs; /* names of services, ended by NULL; may be NULL */
	int (*start)(struct krn_service *s, struct krn *k);
	void (*stop)(struct krn_service *s); /* finishes the work in progress first */
	/*
	 * Takes other settings; what they may change is up to the caller. The old ones are in use
	 * until it returns. May be NULL.
	 */
	void (*reload)(struct krn_service *s, const struct settings *settings);
};

struct krn_service {
	const struct krn_ops *ops;
	gboolean is_started;
};

struct krn {
	GPtrArray *services; /* in order of registration */
	GPtrArray *started; /* in order of start */
};

void krn_init(struct krn *k);
void krn_clear(struct krn *k);
void krn_add(struct krn *k, struct krn_service *s);

/* krn_find - the service called NAME, or NULL. */
void *krn_find(const struct krn *k, const char *name);

/*
 * krn_start - start all services, each after those that it needs.
 * Returns 0, ERR_NOTFOUND for a need that no service meets, or the error of
 * the service that failed; services already started are stopped again.
 */
int krn_start(struct krn *k);

/* krn_reload - hand other settings to the started services. */
void krn_reload(struct krn *k, const struct settings *settings);

/* krn_stop - stop the started services in the reverse order. */
void krn_stop(struct krn *k);

#endif
