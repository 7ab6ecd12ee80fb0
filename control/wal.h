/*
 * wal - the write-ahead log and the snapshot on disk
 *
 * Files: "replica" holds the replica id, generated when the data folder is
 * formatted; "founders" the processes with which it founds a group, from before
 * the first message to them; "snapshot" holds the state up to an index; "log" holds
 * the records after it. Each record carries checksums of its length and of its payload.
 * An incomplete record at the end of the log (a torn write: too short, or zeros
 * from some byte on) is left out. Any other damage or a missing file is refused;
 * the folder must then be emptied and the member replaced. The file system must
 * write the data of an append before the new file length, or leave zeros.
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
	bool is_new; /* the folder was empty and has been formatted */
	bool is_formed; /* the replica belongs to a group: log and snapshot must exist */
};

/*
 * wal_open - reads the replica id from DISK, or formats an empty folder with the id
 * NEW_REPLICA. On failure sets *WHY to the reason (to be freed).
 */
int wal_open(struct wal *w, struct disk *disk, u64 new_replica, char **why);

/*
 * wal_load - loads the snapshot, the term and vote, and the entries into R. The log is written
 * anew: what is read may not be synced, and the replica says from now on that it has it.
 */
int wal_load(struct wal *w, struct raft *r, char **why);

/*
 * wal_load_founders - sets FOUNDERS to those that were saved; ERR_NOTFOUND if there are none. On
 * another error sets *WHY.
 */
int wal_load_founders(struct wal *w, struct raft_members *founders, char **why);

/* These return once the data is synced. */
int wal_save_founders(struct wal *w, const struct raft_members *founders);
int wal_save_state(struct wal *w, u64 term, u32 vote);
int wal_append(struct wal *w, GPtrArray *entries);

/* wal_save_snapshot - also rewrites the log: term and vote, and the entries of R after INDEX. */
int wal_save_snapshot(struct wal *w, const struct raft *r, u64 index, u64 term,
		      const struct raft_members *members, GBytes *state);

#endif
