/*
 * gauge - how slow the upstream's VM is now, as the upstream itself tells it
 *
 * Each answer may tell it for free. When none did for a time and the upstream
 * is in use, its health path is asked, within the budget for that. A change
 * that matters is told to the nodes that call here at once.
 *
 * SOURCE node/gauge.c
 */
#ifndef GAUGE_H
#define GAUGE_H

#include "lib/http.h"
#include "lib/types.h"

struct node;
struct gauge;

#define GAUGE_USUAL_PERCENT 100

struct gauge *gauge_new(struct node *n);
void gauge_free(struct gauge *g);

/* gauge_settings - take the bound of the settings in force. */
void gauge_settings(struct gauge *g);

/* gauge_answer - take what an answer of the upstream tells. */
void gauge_answer(struct gauge *g, const struct http_msg *answer);

/* gauge_used - a call came for the upstream. */
void gauge_used(struct gauge *g);

/* gauge_reset - another upstream has the place. */
void gauge_reset(struct gauge *g);

/* gauge_slowness_percent - 100 as usual; 0 when the upstream does not tell such a thing. */
u32 gauge_slowness_percent(const struct gauge *g);

#endif
