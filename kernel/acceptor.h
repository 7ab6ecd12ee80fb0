/*
 * acceptor - a TCP port whose connections are accepted on an event loop
 *
 * SOURCE kernel/acceptor.c
 */
#ifndef ACCEPTOR_H
#define ACCEPTOR_H

#include "kernel/loop.h"

#include <netinet/in.h>

struct acceptor_ops {
	/* ready - connections wait to be accepted. */
	void (*ready)(void *arg);
	/* set_options - sets what the connections inherit from the port's FD. May be NULL. */
	void (*set_options)(int fd);
};

struct acceptor {
	const struct acceptor_ops *ops; /* must be first */
	void *arg;
	struct loop *loop;
	struct loop_fd fd;
	struct loop_timer pause;
};

/*
 * acceptor_open - listens on HOST:PORT, with the ops and the arg that are set. Returns 0 or ERR_IO;
 * then the port is closed.
 */
int acceptor_open(struct acceptor *a, struct loop *l, const char *host, u16 port);

bool acceptor_is_open(const struct acceptor *a);

/*
 * acceptor_accept - returns the descriptor of a connection, and in FROM, unless that is NULL, its
 * other end; -1 with errno set if there is none
 */
int acceptor_accept(struct acceptor *a, struct sockaddr_in *from);

/*
 * acceptor_pause - accepts nothing for a while. Without that, a port that has connections waiting
 * would wake the loop without end while no descriptor is free.
 */
void acceptor_pause(struct acceptor *a);

/* acceptor_close - closes the port, unless it is closed. */
void acceptor_close(struct acceptor *a);

#endif
