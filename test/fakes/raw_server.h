/*
 * raw_server - a TCP server on its own thread; the test writes the raw bytes of its answers
 *
 * SERVE runs on the server's thread for each accepted connection, one at a time.
 *
 * SOURCE test/fakes/raw_server.c
 */
#ifndef RAW_SERVER_H
#define RAW_SERVER_H

#include "lib/types.h"

#include <glib.h>

struct raw_server;

/* raw_server_handler - serves one connection; NTH counts from 1. The server then closes FD. */
typedef void (*raw_server_handler)(struct raw_server *s, int fd, u32 nth);

struct raw_server {
	u16 port; /* chosen by the kernel */
	raw_server_handler serve;
	void *arg;
	int fd;
	GThread *thread;
	gint requests; /* complete requests read by raw_read_request */
};

void raw_server_start(struct raw_server *s, raw_server_handler serve, void *arg);
void raw_server_stop(struct raw_server *s);

/* raw_read_request - reads one request with its body; false when the connection ended. */
bool raw_read_request(struct raw_server *s, int fd);
/* raw_read_request_text - the same; returns the request, which the caller frees, or NULL. */
char *raw_read_request_text(struct raw_server *s, int fd);
void raw_write(int fd, const char *text);
void raw_write_bytes(int fd, const void *p, size_t len);

/*
 * raw_end - closes the socket FD once the peer has closed, or was silent for less than a second,
 * SILENCE_MS: closing with unread input would reset the connection and might discard what was sent.
 */
void raw_end(int fd, u32 silence_ms);

/* raw_reset_on_close - makes a later close of FD send a reset to the peer. */
void raw_reset_on_close(int fd);

/* raw_wait_closed - waits until the peer has closed; false after 10 s. */
bool raw_wait_closed(int fd);

/* raw_is_closed - returns whether the peer has closed. */
bool raw_is_closed(int fd);

/* raw_listen - returns a socket listening on 127.0.0.1, and its kernel-chosen port in PORT. */
int raw_listen(u16 *port);

/*
 * raw_free_port - returns a port of 127.0.0.1 that nothing listens on. The kernel gives none of
 * these to outgoing connections.
 */
u16 raw_free_port(void);

/* raw_connect - returns a connected socket, or -1. */
int raw_connect(u16 port);

/* raw_connect_async - returns a socket that connects in the background, to fill a backlog. */
int raw_connect_async(u16 port);

#endif
