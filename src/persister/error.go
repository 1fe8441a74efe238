package persister

import (
	"fmt"

	"github.com/rosecroft/rosecroft/src/units"
)

const rejoinRemedy = "move the data folder away and start with an empty one; the instance then joins again as a new voter"

// DamageError reports that a file in the data folder does not hold what was written.
type DamageError struct {
	Path   string
	Offset int64
	Reason string
}

// Error returns the damage and its remedy.
func (e *DamageError) Error() string {
	return fmt.Sprintf("%s is damaged at byte %d: %s; %s", e.Path, e.Offset, e.Reason, rejoinRemedy)
}

// LockedError reports that another process uses the data folder.
type LockedError struct {
	Folder string
}

// Error returns the cause and its remedy.
func (e *LockedError) Error() string {
	return fmt.Sprintf("%s is in use by another process; stop that one, or give this instance a data folder of its own", e.Folder)
}

// FormatError reports that a newer program version wrote the data folder.
type FormatError struct {
	Folder string
	Found  uint32
	Known  uint32
}

// Error returns both formats and the remedy.
func (e *FormatError) Error() string {
	return fmt.Sprintf("%s has format %d and this program knows formats up to %d; start the newer program again", e.Folder, e.Found, e.Known)
}

// ForeignFolderError reports that the data folder is a copy or belongs to another instance.
type ForeignFolderError struct {
	Folder   string
	Instance units.Instance
	Owner    units.Instance
}

// Error returns the cause and its remedy.
func (e *ForeignFolderError) Error() string {
	if e.Instance != e.Owner {
		return fmt.Sprintf("%s belongs to %s and not to %s; correct data-folder in the settings, or %s", e.Folder, e.Owner, e.Instance, rejoinRemedy)
	}
	return fmt.Sprintf("%s is a copy, which may lack what %s has acknowledged since; put the original back, or %s", e.Folder, e.Owner, rejoinRemedy)
}

// WriteError reports that a write to disk failed, so that nothing more can be acknowledged.
type WriteError struct {
	Folder string
	Err    error
}

// Error returns the cause and its remedy.
func (e *WriteError) Error() string {
	return fmt.Sprintf("write to %s: %v; free or replace the disk, or make the folder writable, and start again", e.Folder, e.Err)
}

// Unwrap returns the cause.
func (e *WriteError) Unwrap() error { return e.Err }
