#include "control/wal.h"

#include "lib/err.h"

#include <arpa/inet.h>
#include <endian.h>
#include <string.h>
#include <xxhash.h>

#define WAL_LOG "log"
#define WAL_SNAPSHOT "snapshot"
#define WAL_REPLICA "replica"
#define WAL_FOUNDERS "founders"
#define WAL_HEADER_BYTES 16
#define WAL_RECORD_MAX_BYTES (1024 * 1024 * 1024)
/* Last byte of a record. A partly written record in a file that has already grown ends in 0. */
#define WAL_END 0x5a
#define WAL_END_BYTES 1

enum record_type { REC_STATE = 1, REC_ENTRY, REC_SNAPSHOT, REC_REPLICA, REC_FOUNDERS };

/* Appends a record: length, checksum of the length, checksum of the payload, payload, end byte. */
static void add_record(GByteArray *out, struct frame_out *f)
{
	size_t len = frame_end(f) - FRAME_HEADER_BYTES;
	const char *payload = f->buf.data + FRAME_HEADER_BYTES;
	u32 be_len = htonl((u32)len);
	u32 be_len_check = htonl(XXH32(&be_len, sizeof(be_len), 0));
	u64 be_hash = htobe64(XXH64(payload, len, 0));
	guint8 end = WAL_END;

	g_byte_array_append(out, (const guint8 *)&be_len, sizeof(be_len));
	g_byte_array_append(out, (const guint8 *)&be_len_check, sizeof(be_len_check));
	g_byte_array_append(out, (const guint8 *)&be_hash, sizeof(be_hash));
	g_byte_array_append(out, (const guint8 *)payload, (guint)len);
	g_byte_array_append(out, &end, sizeof(end));
}

static bool is_all_zero(const u8 *p, size_t len)
{
	for (size_t i = 0; i < len; i++)
		if (p[i])
			return false;
	return true;
}

/*
 * Reads the length of the record at P, where LEFT bytes remain in the file. Returns 0,
 * ERR_TRUNCATED when the record is incomplete, or ERR_CORRUPT.
 */
static int read_length(const u8 *p, size_t left, size_t *len)
{
	u32 be_len;
	u32 be_len_check;

	if (left <= WAL_HEADER_BYTES || is_all_zero(p + WAL_HEADER_BYTES, left - WAL_HEADER_BYTES))
		return ERR_TRUNCATED;
	memcpy(&be_len, p, sizeof(be_len));
	memcpy(&be_len_check, p + 4, sizeof(be_len_check));
	if (ntohl(be_len_check) != XXH32(&be_len, sizeof(be_len), 0))
		return ERR_CORRUPT;
	*len = ntohl(be_len);
	if (*len > WAL_RECORD_MAX_BYTES)
		return ERR_CORRUPT;
	return *len + WAL_END_BYTES > left - WAL_HEADER_BYTES ? ERR_TRUNCATED : 0;
}

/*
 * Reads the record at *OFF and advances *OFF. Returns 1 with IN set, 0 at the end or
 * at a torn record, ERR_CORRUPT when a complete record fails its checksum. A torn
 * record is too short, or all bytes from some point in it on are zero.
 */
static int read_record(const GByteArray *file, size_t *off, struct frame_in *in)
{
	const u8 *p = file->data + *off;
	size_t left = file->len - *off;
	const u8 *end;
	u64 be_hash;
	size_t len;
	int err = read_length(p, left, &len);

	if (err)
		return err == ERR_TRUNCATED ? 0 : err;
	end = p + WAL_HEADER_BYTES + len;
	if (is_all_zero(end, (size_t)(p + left - end)))
		return 0;
	memcpy(&be_hash, p + 8, sizeof(be_hash));
	if (*end != WAL_END || be64toh(be_hash) != XXH64(p + WAL_HEADER_BYTES, len, 0))
		return ERR_CORRUPT;
	frame_in_init(in, p + WAL_HEADER_BYTES, len);
	*off += WAL_HEADER_BYTES + len + WAL_END_BYTES;
	return 1;
}

static void put_entry(GByteArray *out, const struct raft_entry *e)
{
	gsize len;
	const void *data = g_bytes_get_data(e->data, &len);
	FRAME_AUTO(f, REC_ENTRY);

	frame_put_u64(&f, e->index);
	frame_put_u64(&f, e->term);
	frame_put_u64(&f, e->kind);
	frame_put_bin(&f, data, len);
	add_record(out, &f);
}

static void put_state(GByteArray *out, u64 term, u32 vote)
{
	FRAME_AUTO(f, REC_STATE);

	frame_put_u64(&f, term);
	frame_put_u64(&f, vote);
	add_record(out, &f);
}

static int append_synced(struct wal *w, const GByteArray *records)
{
	int err = w->disk->ops->append(w->disk, WAL_LOG, records->data, records->len);

	return err ? err : w->disk->ops->sync(w->disk, WAL_LOG);
}

int wal_save_state(struct wal *w, u64 term, u32 vote)
{
	g_autoptr(GByteArray) out = g_byte_array_new();

	put_state(out, term, vote);
	return append_synced(w, out);
}

int wal_append(struct wal *w, GPtrArray *entries)
{
	g_autoptr(GByteArray) out = g_byte_array_new();

	for (guint i = 0; i < entries->len; i++)
		put_entry(out, g_ptr_array_index(entries, i));
	return append_synced(w, out);
}

static int write_replica(struct wal *w)
{
	g_autoptr(GByteArray) out = g_byte_array_new();
	FRAME_AUTO(f, REC_REPLICA);

	frame_put_u64(&f, w->replica);
	frame_put_bool(&f, w->is_formed);
	add_record(out, &f);
	return w->disk->ops->replace(w->disk, WAL_REPLICA, out->data, out->len);
}

/* Marks the replica as part of a group: a missing log or snapshot then means damage. */
static int mark_formed(struct wal *w)
{
	if (w->is_formed)
		return 0;
	w->is_formed = true;
	return write_replica(w);
}

/* Rewrites the log with the term, the vote and, if KEEPS_ENTRIES, the entries after INDEX. */
static int write_log(struct wal *w, const struct raft *r, u64 index, bool keeps_entries)
{
	g_autoptr(GByteArray) log = g_byte_array_new();

	put_state(log, r->term, r->vote);
	for (u64 i = index + 1; keeps_entries && i <= raft_last_index(r); i++)
		put_entry(log, raft_entry_at(r, i));
	return w->disk->ops->replace(w->disk, WAL_LOG, log->data, log->len);
}

int wal_save_snapshot(struct wal *w, const struct raft *r, u64 index, u64 term,
		      const struct raft_members *members, GBytes *state)
{
	g_autoptr(GByteArray) snapshot = g_byte_array_new();
	gsize len;
	const void *data = g_bytes_get_data(state, &len);
	int err;
	FRAME_AUTO(f, REC_SNAPSHOT);

	frame_put_u64(&f, index);
	frame_put_u64(&f, term);
	raft_members_put(&f, members);
	frame_put_bin(&f, data, len);
	add_record(snapshot, &f);
	err = w->disk->ops->replace(w->disk, WAL_SNAPSHOT, snapshot->data, snapshot->len);
	if (err)
		return err;
	/* Entries after the snapshot are kept only when the log matches it. */
	err = write_log(w, r, index, raft_term_at(r, index) == term);
	return err ? err : mark_formed(w);
}

static int format_folder(struct wal *w, u64 replica)
{
	w->replica = replica;
	w->is_new = true;
	return write_replica(w);
}

static int read_replica(struct wal *w, const GByteArray *file)
{
	struct frame_in in;
	size_t off = 0;

	if (read_record(file, &off, &in) != 1 || frame_get_u64(&in) != REC_REPLICA)
		return ERR_CORRUPT;
	w->replica = frame_get_u64(&in);
	w->is_formed = frame_get_bool(&in);
	return frame_done(&in) ? ERR_CORRUPT : 0;
}

static int exists(struct wal *w, const char *name)
{
	g_autoptr(GByteArray) file = g_byte_array_new();

	return w->disk->ops->read(w->disk, name, file) != ERR_NOTFOUND;
}

int wal_open(struct wal *w, struct disk *disk, u64 new_replica, char **why)
{
	g_autoptr(GByteArray) file = g_byte_array_new();
	int err;

	memset(w, 0, sizeof(*w));
	w->disk = disk;
	err = disk->ops->read(disk, WAL_REPLICA, file);
	if (err == ERR_NOTFOUND && (exists(w, WAL_LOG) || exists(w, WAL_SNAPSHOT)))
		err = ERR_CORRUPT;
	if (err == ERR_NOTFOUND)
		err = format_folder(w, new_replica);
	else if (!err)
		err = read_replica(w, file);
	if (err == ERR_CORRUPT)
		*why = g_strdup("the file \"replica\" is missing or damaged; empty the folder and "
				"run member replace");
	else if (err)
		*why = g_strdup("cannot read or write the data folder");
	return err;
}

int wal_save_founders(struct wal *w, const struct raft_members *founders)
{
	g_autoptr(GByteArray) out = g_byte_array_new();
	FRAME_AUTO(f, REC_FOUNDERS);

	raft_members_put(&f, founders);
	add_record(out, &f);
	return w->disk->ops->replace(w->disk, WAL_FOUNDERS, out->data, out->len);
}

static int read_founders(const GByteArray *file, struct raft_members *founders)
{
	struct frame_in in;
	size_t off = 0;

	if (read_record(file, &off, &in) != 1 || frame_get_u64(&in) != REC_FOUNDERS)
		return ERR_CORRUPT;
	raft_members_get(&in, founders);
	return frame_done(&in) ? ERR_CORRUPT : 0;
}

int wal_load_founders(struct wal *w, struct raft_members *founders, char **why)
{
	g_autoptr(GByteArray) file = g_byte_array_new();
	int err = w->disk->ops->read(w->disk, WAL_FOUNDERS, file);

	if (!err)
		err = read_founders(file, founders);
	/* Its name may not be on the disk yet, and messages to the founders follow. */
	if (!err)
		err = wal_save_founders(w, founders);
	if (err == ERR_CORRUPT)
		*why = g_strdup("the file \"founders\" is damaged; empty the folder");
	return err;
}

static int load_snapshot(struct raft *r, const GByteArray *file)
{
	struct raft_members members;
	g_autoptr(GBytes) state = NULL;
	struct frame_in in;
	size_t off = 0;
	size_t len;
	const void *data;
	u64 index;
	u64 term;

	if (read_record(file, &off, &in) != 1 || frame_get_u64(&in) != REC_SNAPSHOT)
		return ERR_CORRUPT;
	index = frame_get_u64(&in);
	term = frame_get_u64(&in);
	raft_members_get(&in, &members);
	data = frame_get_bin(&in, &len);
	if (frame_done(&in))
		return ERR_CORRUPT;
	state = g_bytes_new(data, len);
	raft_load_snapshot(r, index, term, &members, state);
	return 0;
}

/* State while reading the log, which may start before the snapshot after a crash. */
struct loader {
	struct raft *r;
	u64 last; /* index of the entry read last */
	bool follows_snapshot; /* the current entries follow the last one in the snapshot */
};

static int load_entry(struct loader *l, struct frame_in *in)
{
	struct raft_entry e = { .index = frame_get_u64(in), .term = frame_get_u64(in) };
	g_autoptr(GBytes) bytes = NULL;
	const void *data;
	size_t len;

	e.kind = (enum raft_entry_kind)frame_get_u64(in);
	data = frame_get_bin(in, &len);
	bytes = g_bytes_new(data, len);
	e.data = bytes;
	/* A gap means that records are missing. */
	if (frame_done(in) || !e.index || !l->r->snap_index || e.index > l->last + 1)
		return ERR_CORRUPT;
	l->last = e.index;
	if (e.index <= l->r->snap_index)
		l->follows_snapshot = e.index == l->r->snap_index && e.term == l->r->snap_term;
	if (e.index <= l->r->snap_index || l->follows_snapshot)
		raft_load_entry(l->r, &e);
	return 0;
}

static int load_record(struct loader *l, struct frame_in *in)
{
	u64 type = frame_get_u64(in);

	if (type == REC_STATE) {
		u64 term = frame_get_u64(in);
		u32 vote = (u32)frame_get_u64(in);

		raft_load_state(l->r, term, vote);
		return frame_done(in) ? ERR_CORRUPT : 0;
	}
	return type == REC_ENTRY ? load_entry(l, in) : ERR_CORRUPT;
}

static int load_records(struct loader *l, const GByteArray *file, size_t *off)
{
	struct frame_in in;
	int ret;

	while ((ret = read_record(file, off, &in)) == 1) {
		int err = load_record(l, &in);

		if (err)
			return err;
	}
	return ret;
}

/*
 * The log is written anew: what was read may not be on the disk, as after a kill while a sync hung,
 * or after a sync that failed, and the process says from now on that it has it. This also cuts a
 * torn tail, and leaves out entries from before the snapshot, as the next append would leave a gap.
 * It syncs the folder too, so that the other files keep their names.
 */
static int load_log(struct wal *w, struct raft *r, const GByteArray *log, char **why)
{
	struct loader l = { .r = r, .last = r->snap_index, .follows_snapshot = true };
	size_t off = 0;
	int err = load_records(&l, log, &off);

	if (!err)
		return write_log(w, r, r->snap_index, true);
	*why = g_strdup_printf("the log is damaged at byte %zu of %u; empty the folder and run "
			       "member replace",
			       off, log->len);
	return err;
}

/* Reads a file. Once the replica belongs to a group, a missing file is damage (ERR_CORRUPT). */
static int read_file(struct wal *w, const char *name, GByteArray *out, char **why)
{
	int err = w->disk->ops->read(w->disk, name, out);

	if (err != ERR_NOTFOUND || !w->is_formed)
		return err;
	*why = g_strdup_printf(
		"the file \"%s\" is missing; empty the folder and run member replace", name);
	return ERR_CORRUPT;
}

int wal_load(struct wal *w, struct raft *r, char **why)
{
	g_autoptr(GByteArray) snapshot = g_byte_array_new();
	g_autoptr(GByteArray) log = g_byte_array_new();
	bool has_snapshot;
	int err = read_file(w, WAL_SNAPSHOT, snapshot, why);

	has_snapshot = !err;
	if (!err && load_snapshot(r, snapshot)) {
		*why = g_strdup("the snapshot is damaged; empty the folder and run member replace");
		return ERR_CORRUPT;
	}
	if (err && err != ERR_NOTFOUND)
		return err;
	err = read_file(w, WAL_LOG, log, why);
	if (!err)
		err = load_log(w, r, log, why);
	else if (err == ERR_NOTFOUND)
		err = has_snapshot ? write_log(w, r, r->snap_index, true) : 0;
	if (err)
		return err;
	return has_snapshot ? mark_formed(w) : 0;
}
