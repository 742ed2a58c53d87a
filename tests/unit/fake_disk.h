/* Disks that are full or fail to sync: replaces write, fsync and fdatasync of
   this program for the files in chosen folders.  */
#ifndef UNIT_FAKE_DISK_H
#define UNIT_FAKE_DISK_H

#include <stdbool.h>
#include <stdint.h>

/* Writes to files in FOLDER fail with ENOSPC after BYTES more bytes; the last
   write before that may be partial.  */
void fake_disk_fill (const char *folder, uint64_t bytes);

/* Writes to files in FOLDER succeed and their syncs fail, as with delayed
   allocation.  */
void fake_disk_fail_syncs (const char *folder);

/* Ends the faults of FOLDER, or of all folders if it is NULL.  */
void fake_disk_mend (const char *folder);

/* The number of successful syncs of this program's files and folders.  */
uint32_t fake_disk_syncs (void);

#endif
