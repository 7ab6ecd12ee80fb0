#include "lib/http_head.h"

#include "lib/err.h"

static bool is_blank(char c)
{
	return c == ' ' || c == '\t';
}

static enum http_head_place after_line(enum http_head_place place)
{
	if (place == HTTP_HEAD_START)
		return HTTP_HEAD_START;
	return place == HTTP_HEAD_LINE_START ? HTTP_HEAD_END : HTTP_HEAD_LINE_START;
}

static int check_name(struct http_head *h, char c)
{
	if (is_blank(c))
		return ERR_INVAL;
	h->place = c == ':' ? HTTP_HEAD_VALUE : HTTP_HEAD_NAME;
	return 0;
}

static void count_word(struct http_head *h, char c)
{
	if (c != ' ' && !h->is_in_word)
		h->words++;
	h->is_in_word = c != ' ';
	h->second_word_bytes += h->is_in_word && h->words == 2;
}

static int check_byte(struct http_head *h, char c)
{
	if (!c || (h->is_after_cr && c != '\n'))
		return ERR_INVAL;
	h->is_after_cr = c == '\r';
	if (c == '\r')
		return 0;
	if (c == '\n') {
		h->place = after_line(h->place);
		return 0;
	}
	if (h->place == HTTP_HEAD_LINE_START || h->place == HTTP_HEAD_NAME)
		return check_name(h, c);
	if (h->place == HTTP_HEAD_START)
		h->place = HTTP_HEAD_FIRST_LINE;
	if (h->place == HTTP_HEAD_FIRST_LINE)
		count_word(h, c);
	return 0;
}

int http_head_check(struct http_head *h, const char *data, size_t len, size_t *checked)
{
	size_t n = 0;
	int err = 0;

	while (!err && n < len && h->place != HTTP_HEAD_END)
		err = check_byte(h, data[n++]);
	*checked = n;
	return err;
}
