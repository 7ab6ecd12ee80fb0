/*
 * wal - the write-ahead log and the snapshot on disk
 *
 * Files: "replica" holds the id of the data folder, made when it is
 * formatted; "snapshot" holds the state up to an index; "log" holds records
 * after it. Each record carries a checksum of its length and of its payload.
 * An incomplete record at the end (a torn write: too short, or zeros from some
 * byte on) is cut; any other damage, and a missing file, is refused, and the
 * folder must then be emptied and the member replaced. The file system must
 * write the data of an append before the new length or leave zeros.
 *
 * ERRORS ERR_CORRUPT, ERR_IO
 * SOURCE control/wal.c
 */
#ifndef WAL_H
#define WAL_H

#include "control/disk.h"
#include "control/raft.h"

struct wal {
	struct disk *disk;
	u64 replica;
	bool is_new; /* the folder was empty */
	bool is_formed; /* it belongs to a group: log and snapshot must be there */
};

/*
 * wal_open - read the replica id of DISK, or format an empty folder with
 * FRESH_REPLICA. *WHY says what is wrong (to be freed).
 */
int wal_open(struct wal *w, struct disk *disk, u64 fresh_replica, char **why);

/* wal_load - hand the snapshot, the state and the entries to R. */
int wal_load(struct wal *w, struct raft *r, char **why);

/* These return when the data is synced. */
int wal_save_state(struct wal *w, u64 term, u32 vote);
int wal_append(struct wal *w, GPtrArray *entries);

/* wal_save_snapshot - also rewrites the log with the state and the entries of R after INDEX. */
int wal_save_snapshot(struct wal *w, const struct raft *r, u64 index, u64 term,
		      const struct raft_members *members, GBytes *state);

#endif
