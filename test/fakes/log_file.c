#include "test/fakes/log_file.h"

#include <glib.h>
#include <string.h>
#include <unistd.h>

char *log_file_begin(void)
{
	char *path = NULL;
	int fd = g_file_open_tmp("log-XXXXXX", &path, NULL);
	int err;

	g_assert_cmpint(fd, >=, 0);
	close(fd);
	err = log_open(path, LOG_INFO, LOG_TEXT);
	g_assert_cmpint(err, ==, 0);
	return path;
}

void log_file_end(char *path)
{
	log_open(NULL, LOG_INFO, LOG_TEXT);
	unlink(path);
	g_free(path);
}

u32 log_file_count(const char *path, const char *text)
{
	g_autofree char *content = NULL;
	u32 n = 0;

	g_assert_true(g_file_get_contents(path, &content, NULL, NULL));
	for (const char *p = content; (p = strstr(p, text)); p++)
		n++;
	return n;
}
