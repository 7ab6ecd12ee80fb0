/*
 * badinput - send what a process must refuse and survive
 *
 * badinput -p PORT -k http|hello|frames [-c CLUSTER] [-r node|control] [-s SEED] [-n COUNT]
 *
 * http: each of a list of malformed requests on its own connection.
 * hello: bytes that are no frames, or whose greeting is wrong.
 * frames: COUNT connections that greet properly as ROLE and then send frames of
 * random types and scalars drawn from SEED.
 * Prints the number of connections made; exits with 1 when one is refused.
 */
#include "kernel/link.h"
#include "lib/rng.h"

#include <arpa/inet.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#define ANSWER_WAIT_MS 300
#define FRAMES_PER_CONNECTION 8
#define FIELDS_MAX 24
#define TYPES 16

static u16 port;
static const char *cluster = "breizh";
static u32 made;

static int dial(void)
{
	struct sockaddr_in addr = { .sin_family = AF_INET, .sin_port = htons(port) };
	struct timeval wait = { .tv_usec = ANSWER_WAIT_MS * 1000 };
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	inet_pton(AF_INET, "127.0.0.1", &addr.sin_addr);
	if (connect(fd, (struct sockaddr *)&addr, sizeof(addr))) {
		fprintf(stderr, "badinput: nobody listens on port %u\n", port);
		exit(1);
	}
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof(wait));
	made++;
	return fd;
}

static void send_all(int fd, const void *p, size_t len)
{
	const char *at = p;

	while (len) {
		ssize_t n = send(fd, at, len, MSG_NOSIGNAL);

		if (n <= 0)
			return;
		at += n;
		len -= (size_t)n;
	}
}

/* Reads what comes for a moment, so that the close does not discard what was sent. */
static void end(int fd)
{
	char unused[65536];

	shutdown(fd, SHUT_WR);
	while (recv(fd, unused, sizeof(unused), 0) > 0)
		;
	close(fd);
}

static void try_bytes(const void *p, size_t len)
{
	int fd = dial();

	send_all(fd, p, len);
	end(fd);
}

static void try_text(const char *text)
{
	try_bytes(text, strlen(text));
}

static void try_long(const char *before, size_t len, const char *after)
{
	g_autofree char *filler = g_strnfill(len, 'x');
	g_autofree char *text = g_strconcat(before, filler, after, NULL);

	try_text(text);
}

static void bad_http(void)
{
	static const char *const texts[] = {
		"\r\n\r\n",
		"hoopoe\r\n\r\n",
		"GET\r\n\r\n",
		"GET / HTTP/9.9\r\nHost: x\r\n\r\n",
		"GET / HTTP/1.1\r\n: empty\r\n\r\n",
		"GET / HTTP/1.1\r\nno colon\r\n\r\n",
		"GET /%00%00 HTTP/1.1\r\nHost: sightings\r\n\r\n",
		"GET /../../../etc HTTP/1.1\r\nHost: sightings\r\n\r\n",
		"PUT / HTTP/1.1\r\nHost: sightings\r\nContent-Length: -5\r\n\r\nhello",
		"PUT / HTTP/1.1\r\nHost: sightings\r\nContent-Length: hoopoe\r\n\r\nhello",
		"PUT / HTTP/1.1\r\nHost: sightings\r\nContent-Length: "
		"99999999999999999999\r\n\r\nx",
		"PUT / HTTP/1.1\r\nHost: sightings\r\nContent-Length: 100\r\n\r\nshort",
		"PUT / HTTP/1.1\r\nHost: sightings\r\nContent-Length: 5\r\nContent-Length: "
		"6\r\n\r\nhello",
		"PUT / HTTP/1.1\r\nHost: sightings\r\nTransfer-Encoding: "
		"chunked\r\n\r\nzz\r\nhello\r\n",
		"PUT / HTTP/1.1\r\nHost: sightings\r\nTransfer-Encoding: "
		"chunked\r\n\r\nffffffffffffffff\r\nx",
		"PUT / HTTP/1.1\r\nHost: sightings\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhel",
		"PUT /v1/services/x HTTP/1.1\r\nHost: c\r\nContent-Length: 1\r\n\r\n{",
		"PUT /v1/services/x HTTP/1.1\r\nHost: c\r\nIf-Match: z\r\nContent-Length: "
		"2\r\n\r\n[]",
		"PUT /v1/services/%2e%2e HTTP/1.1\r\nHost: c\r\nContent-Length: 2\r\n\r\n{}",
		"PUT /v1/upstream HTTP/1.1\r\nHost: n\r\nContent-Length: 4\r\n\r\nnull",
		"PUT /v1/upstream HTTP/1.1\r\nHost: n\r\nContent-Length: "
		"14\r\n\r\n{\"service\":\"x\"",
		"PUT /v1/upstream HTTP/1.1\r\nHost: n\r\nContent-Length: "
		"13\r\n\r\n{\"state\":\"x\"}",
		"GET /v1/watch?from=hoopoe HTTP/1.1\r\nHost: c\r\n\r\n",
		"POST /v1/members/99999999999999999999/replace HTTP/1.1\r\nHost: c\r\n\r\n",
		"DELETE /v1/members/ HTTP/1.1\r\nHost: c\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: sightings\r\nLavenderlead-Timeout-Ms: hoopoe\r\n\r\n",
		"GET / HTTP/1.1\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: :::\r\n\r\n",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(texts); i++)
		try_text(texts[i]);
	try_bytes("\0\xff\0\xff\r\n\r\n", 8);
	try_long("GET /", 100000, " HTTP/1.1\r\nHost: sightings\r\n\r\n");
	try_long("GET / HTTP/1.1\r\nHost: ", 15000, "\r\n\r\n");
	try_long("GET / HTTP/1.1\r\nHost: ", 100000, "\r\n\r\n");
	try_long("PUT /v1/services/x HTTP/1.1\r\nHost: c\r\nContent-Length: 300000\r\n\r\n", 300000,
		 "");
	try_long("PUT /v1/upstream HTTP/1.1\r\nHost: n\r\nContent-Length: 30000\r\n\r\n", 30000,
		 "");
}

static void send_hello(int fd, const char *in_cluster, enum link_role role)
{
	FRAME_AUTO(f, LINK_HELLO);

	frame_put_str(&f, in_cluster);
	frame_put_u64(&f, role);
	frame_put_str(&f, "127.0.0.1:1");
	frame_put_str(&f, "z");
	frame_put_str(&f, "r");
	frame_put_u64(&f, 1);
	frame_put_u64(&f, 1);
	send_all(fd, f.buf.data, frame_end(&f));
}

static void bad_hello(void)
{
	static const char huge[] = "\xff\xff\xff\xff and more";
	static const char empty[] = "\0\0\0\0";
	static const char cut[] = "\0\0\0\x40\x01";
	static const char map[] = "\0\0\0\x05\xdf\x7f\xff\xff\xff";
	g_autofree char *longer = g_strnfill(1000, 'x');
	int fd;

	try_bytes(huge, sizeof(huge) - 1);
	try_bytes(empty, sizeof(empty) - 1);
	try_bytes(cut, sizeof(cut) - 1);
	try_bytes(map, sizeof(map) - 1);
	try_text("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
	fd = dial();
	send_hello(fd, "another\ncluster", LINK_NODE);
	end(fd);
	fd = dial();
	send_hello(fd, longer, LINK_NODE);
	end(fd);
	fd = dial();
	send_hello(fd, cluster, LINK_NODE);
	send_hello(fd, cluster, LINK_NODE);
	end(fd);
}

static void put_random_field(struct frame_out *f, struct rng *rng)
{
	char bytes[64];
	u32 len = rng_below(rng, sizeof(bytes));

	for (u32 i = 0; i < len; i++)
		bytes[i] = (char)('!' + rng_below(rng, 90));
	switch (rng_below(rng, 6)) {
	case 0:
		frame_put_u64(f, rng_below(rng, 4));
		break;
	case 1:
		frame_put_u64(f, rng_next(rng));
		break;
	case 2:
		frame_put_i64(f, -(i64)rng_below(rng, 1000));
		break;
	case 3:
		frame_put_bool(f, rng_below(rng, 2));
		break;
	case 4:
		bytes[len] = 0;
		frame_put_str(f, bytes);
		break;
	default:
		frame_put_bin(f, bytes, len);
		break;
	}
}

static void random_frames(enum link_role role, u64 seed, u32 count)
{
	struct rng rng = { .state = seed };

	for (u32 i = 0; i < count; i++) {
		int fd = dial();

		send_hello(fd, cluster, role);
		for (u32 k = 0; k < FRAMES_PER_CONNECTION; k++) {
			FRAME_AUTO(f, LINK_TYPE_FIRST + rng_below(&rng, TYPES));

			for (u32 n = rng_below(&rng, FIELDS_MAX); n; n--)
				put_random_field(&f, &rng);
			send_all(fd, f.buf.data, frame_end(&f));
		}
		end(fd);
	}
}

int main(int argc, char **argv)
{
	enum link_role role = LINK_NODE;
	const char *kind = "";
	u64 seed = 1;
	u32 count = 100;
	int c;

	while ((c = getopt(argc, argv, "p:k:c:r:s:n:")) != -1) {
		if (c == 'p')
			port = (u16)atoi(optarg);
		else if (c == 'k')
			kind = optarg;
		else if (c == 'c')
			cluster = optarg;
		else if (c == 'r')
			role = strcmp(optarg, "control") ? LINK_NODE : LINK_CONTROL;
		else if (c == 's')
			seed = strtoull(optarg, NULL, 10);
		else if (c == 'n')
			count = (u32)atoi(optarg);
	}
	if (!strcmp(kind, "http"))
		bad_http();
	else if (!strcmp(kind, "hello"))
		bad_hello();
	else if (!strcmp(kind, "frames"))
		random_frames(role, seed, count);
	else
		return 2;
	printf("%u\n", made);
	return 0;
}
