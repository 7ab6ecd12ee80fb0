#include "control/config_stream.h"

#include "lib/log.h"

#include <xxhash.h>
#include <zlib.h>

/* Appends what deflating IN gives to OUT. Returns the last result of zlib. */
static int deflate_into(GByteArray *out, z_stream *z, const void *in, size_t len, int flush)
{
	u8 buf[16 * 1024];
	int ret;

	z->next_in = (Bytef *)(uintptr_t)in;
	z->avail_in = (uInt)len;
	do {
		z->next_out = buf;
		z->avail_out = sizeof(buf);
		ret = deflate(z, flush);
		/* Nothing was left to do. */
		if (ret == Z_BUF_ERROR)
			ret = Z_OK;
		g_byte_array_append(out, buf, (guint)(sizeof(buf) - z->avail_out));
	} while (ret == Z_OK && !z->avail_out);
	return ret;
}

static GByteArray *deflate_frames(const GPtrArray *frames)
{
	g_autoptr(GByteArray) out = g_byte_array_new();
	z_stream z = { 0 };
	int ret = deflateInit(&z, Z_BEST_SPEED);

	for (guint i = 0; i < frames->len && ret == Z_OK; i++) {
		struct frame_out *f = g_ptr_array_index(frames, i);
		size_t len = frame_end(f);

		ret = deflate_into(out, &z, f->buf.data, len, Z_NO_FLUSH);
	}
	if (ret == Z_OK)
		ret = deflate_into(out, &z, NULL, 0, Z_FINISH);
	deflateEnd(&z);
	return ret == Z_STREAM_END ? g_steal_pointer(&out) : NULL;
}

struct config_stream *config_stream_new(u64 from, u64 to, const GPtrArray *frames)
{
	GByteArray *bytes = deflate_frames(frames);
	struct config_stream *s;

	if (!bytes) {
		log_event(LOG_ERROR, "cannot compress a configuration", "from", log_u64(from), "to",
			  log_u64(to), NULL);
		return NULL;
	}
	s = g_new0(struct config_stream, 1);
	s->bytes = bytes;
	s->id = (struct config_stream_id){ .from = from,
					   .to = to,
					   .checksum = XXH64(bytes->data, bytes->len, 0) };
	s->refs = 1;
	return s;
}

void config_stream_unref(struct config_stream *s)
{
	if (--s->refs)
		return;
	g_byte_array_unref(s->bytes);
	g_free(s);
}

static struct config_stream *stream_ref(struct config_stream *s)
{
	s->refs++;
	return s;
}

static struct config_stream *find_kept(struct config_streams *c, u64 from, u64 to)
{
	for (u32 i = 0; i < CONFIG_STREAMS_KEPT; i++)
		if (c->kept[i] && c->kept[i]->id.from == from && c->kept[i]->id.to == to)
			return c->kept[i];
	return NULL;
}

static void keep(struct config_streams *c, struct config_stream *s)
{
	g_clear_pointer(&c->kept[c->next], config_stream_unref);
	c->kept[c->next] = s;
	c->next = (c->next + 1) % CONFIG_STREAMS_KEPT;
}

struct config_stream *config_streams_get(struct config_streams *c, const struct store *s, u64 from)
{
	struct config_stream *stream;

	from = config_frames_base(&c->frames, s, from);
	stream = find_kept(c, from, s->revision);
	if (stream)
		return stream_ref(stream);
	stream = config_stream_new(from, s->revision, config_frames_get(&c->frames, s, from));
	if (!stream)
		return NULL;
	keep(c, stream);
	return stream_ref(stream);
}

struct config_stream *config_streams_find(struct config_streams *c, const struct store *s,
					  const struct config_stream_id *id)
{
	struct config_stream *stream;

	if (id->to == s->revision)
		stream = config_streams_get(c, s, id->from);
	else
		stream = find_kept(c, id->from, id->to);
	if (id->to != s->revision && stream)
		stream_ref(stream);
	if (stream && config_stream_id_equal(&stream->id, id))
		return stream;
	g_clear_pointer(&stream, config_stream_unref);
	return NULL;
}

void config_streams_clear(struct config_streams *c)
{
	for (u32 i = 0; i < CONFIG_STREAMS_KEPT; i++)
		g_clear_pointer(&c->kept[i], config_stream_unref);
	config_frames_clear(&c->frames);
}
