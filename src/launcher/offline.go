package launcher

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"os"

	"github.com/rosecroft/rosecroft/src/indexer"
	"github.com/rosecroft/rosecroft/src/parser"
)

const (
	saltBytes   = 16
	secretBytes = 24
)

type checkCommand struct {
	File string `arg:"" help:"File to check, in YAML." type:"existingfile"`
	Kind string `help:"Kind of the file." enum:"configuration,entry,control" default:"configuration"`
}

type makeKeyCommand struct {
	ID string `arg:"" help:"ID of the key, unique in the configuration."`
}

type versionCommand struct{}

// Run checks a file and prints only whether it is valid.
func (c *checkCommand) Run(console *console) error {
	content, err := os.ReadFile(c.File)
	if err != nil {
		return fmt.Errorf("read the file: %w", err)
	}
	if c.Kind == "configuration" {
		_, err = parser.ParseConfiguration(c.File, content)
	} else {
		_, err = parser.ParseSettings(c.File, content, parser.Role(c.Kind))
	}
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(console.out, "%s is valid\n", c.File)
	return nil
}

// Run generates a key; the secret is printed once and not stored.
func (c *makeKeyCommand) Run(console *console) error {
	salt := make([]byte, saltBytes)
	secret := make([]byte, secretBytes)
	_, _ = rand.Read(salt)
	_, _ = rand.Read(secret)
	written := hex.EncodeToString(secret)
	_, _ = fmt.Fprintf(console.out, "key for the caller: %s.%s\nfor the configuration:\n  - id: %s\n    salt: %s\n    sha256: %s\n",
		c.ID, written, c.ID, hex.EncodeToString(salt), hex.EncodeToString(indexer.HashKey(salt, written)))
	return nil
}

// Run prints the version and the revision.
func (c *versionCommand) Run(console *console) error {
	_, err := fmt.Fprintf(console.out, "rosecroft %s %s\n", console.version, console.revision)
	return err
}
