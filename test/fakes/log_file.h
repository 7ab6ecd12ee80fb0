/*
 * log_file - what the process logs, in a file that a test reads
 *
 * SOURCE test/fakes/log_file.c
 */
#ifndef LOG_FILE_H
#define LOG_FILE_H

#include "lib/log.h"

/* log_file_begin - directs the log, at level info and as text, to a new file; returns its path. */
char *log_file_begin(void);

/* log_file_end - directs it to standard output again; removes the file and frees PATH. */
void log_file_end(char *path);

/* log_file_count - returns how often TEXT stands in the file. */
u32 log_file_count(const char *path, const char *text);

#endif
