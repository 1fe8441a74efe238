package persister

import (
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"syscall"

	"google.golang.org/protobuf/proto"

	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/units"
)

const (
	lockFile     = "lock"
	identityFile = "identity"
	stateFile    = "state"
	snapshotFile = "snapshot"
	recordsFile  = "records"
	nextSuffix   = ".next"

	formatVersion = 1
	identityBytes = 8
	fileMode      = 0o600
	folderMode    = 0o700
)

// lock locks the folder for this process. Two processes on one folder would each
// overwrite what the other has acknowledged. The lock ends with its process.
func lock(folder string) (*os.File, error) {
	file, err := os.OpenFile(filepath.Join(folder, lockFile), os.O_RDWR|os.O_CREATE, fileMode)
	if err != nil {
		return nil, &WriteError{
			Folder: folder,
			Err:    err,
		}
	}
	err = syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
	if errors.Is(err, syscall.EWOULDBLOCK) {
		return nil, errors.Join(&LockedError{Folder: folder}, file.Close())
	}
	if err != nil {
		return nil, errors.Join(fmt.Errorf("lock the data folder: %w", err), file.Close())
	}
	return file, nil
}

// readIdentity returns the folder's identity, or nil for a new folder. The identity
// file's inode is checked only if stableInodes is set.
func readIdentity(folder string, instance units.Instance, stableInodes bool) (*messages.FolderIdentity, error) {
	path := filepath.Join(folder, identityFile)
	identity := &messages.FolderIdentity{}
	found, err := readFile(path, kindIdentity, identity)
	if err != nil || !found {
		return nil, err
	}
	if identity.GetFormat() > formatVersion {
		return nil, &FormatError{
			Folder: folder,
			Found:  identity.GetFormat(),
			Known:  formatVersion,
		}
	}
	inode, err := inodeOf(path)
	if err != nil {
		return nil, err
	}
	// A copy lacks what the original acknowledged after the copy was made. A voter
	// started from a copy would vote and acknowledge as if it still held that, and a
	// committed change could be lost.
	if identity.GetInstance() != string(instance) || stableInodes && identity.GetInode() != inode {
		return nil, &ForeignFolderError{
			Folder:   folder,
			Instance: instance,
			Owner:    units.Instance(identity.GetInstance()),
		}
	}
	return identity, nil
}

// checkNoLeftovers returns a DamageError for a folder without identity that holds a
// voter's files: the voter may have acknowledged more than what is left.
func checkNoLeftovers(folder string) error {
	state := &messages.HardState{}
	if _, err := readFile(filepath.Join(folder, stateFile), kindState, state); err != nil {
		return err
	}
	hasLeftovers := !proto.Equal(state, &messages.HardState{})
	for _, name := range []string{snapshotFile, recordsFile} {
		_, err := os.Stat(filepath.Join(folder, name))
		hasLeftovers = hasLeftovers || err == nil
	}
	if hasLeftovers {
		return &DamageError{
			Path:   filepath.Join(folder, identityFile),
			Reason: "it is missing beside a voter's files",
		}
	}
	return nil
}

func createIdentity(folder string, instance units.Instance) (*messages.FolderIdentity, error) {
	random := make([]byte, identityBytes)
	_, _ = rand.Read(random)
	identity := &messages.FolderIdentity{
		Format:   formatVersion,
		Instance: string(instance),
		Identity: hex.EncodeToString(random),
	}
	err := replaceFile(filepath.Join(folder, identityFile), func(file *os.File) ([]byte, error) {
		inode, err := inodeOf(file.Name())
		if err != nil {
			return nil, err
		}
		identity.Inode = inode
		return appendFrame(nil, kindIdentity, identity)
	})
	return identity, err
}

func inodeOf(path string) (uint64, error) {
	info, err := os.Stat(path)
	if err != nil {
		return 0, fmt.Errorf("stat %s: %w", path, err)
	}
	status, known := info.Sys().(*syscall.Stat_t)
	if !known {
		return 0, fmt.Errorf("stat %s: the file system reports no inode number; use a local disk", path)
	}
	return status.Ino, nil
}

// readFile decodes a file of one frame and reports whether it exists.
func readFile(path string, kind frameKind, message proto.Message) (bool, error) {
	content, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return false, nil
	}
	if err != nil {
		return false, fmt.Errorf("read %s: %w", path, err)
	}
	size, reason := readMessage(content, kind, message)
	if reason == "" && size != len(content) {
		reason = "bytes follow the frame"
	}
	if reason != "" {
		return false, &DamageError{
			Path:   path,
			Reason: reason,
		}
	}
	return true, nil
}

// replaceFile replaces a file's content atomically: a crash leaves the old content or
// the new, never a mixture.
func replaceFile(path string, makeContent func(*os.File) ([]byte, error)) error {
	next := path + nextSuffix
	file, err := os.OpenFile(next, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, fileMode)
	if err != nil {
		return err
	}
	content, err := makeContent(file)
	if err == nil {
		_, err = file.Write(content)
	}
	if err == nil {
		err = file.Sync()
	}
	if err = errors.Join(err, file.Close()); err != nil {
		return err
	}
	if err := os.Rename(next, path); err != nil {
		return err
	}
	return syncFolder(filepath.Dir(path))
}

// replaceMessage replaces a file's content by one framed message, like replaceFile.
func replaceMessage(path string, kind frameKind, message proto.Message) error {
	return replaceFile(path, func(*os.File) ([]byte, error) {
		return appendFrame(nil, kind, message)
	})
}

// syncFolder makes a rename durable. Without it a crash could bring back the old
// file, and the voter could vote twice in a term.
func syncFolder(path string) error {
	folder, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(folder.Sync(), folder.Close())
}
