package launcher

import (
	"context"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"github.com/rosecroft/rosecroft/src/parser"
)

// ExitCode is the exit code of the process.
type ExitCode int

// The exit codes.
const (
	ExitOK ExitCode = iota
	// ExitFailed means that the command failed.
	ExitFailed
	// ExitUsage means that the command line is invalid.
	ExitUsage
	// ExitInvalid means that a configuration or settings file is invalid.
	ExitInvalid
	// ExitRefused means that control refused the change.
	ExitRefused
	// ExitPortInUse means that a listener's address is in use.
	ExitPortInUse
	// ExitDisk means that a folder or file cannot be written.
	ExitDisk
)

// exitCodes is the description of the exit codes in the help.
const exitCodes = `Exit codes: 0 done, 1 failed, 2 wrong command line, 3 wrong file, 4 refused by control, 5 address in use, 6 folder or file cannot be written.`

// options are the commands and flags of the command line.
type options struct {
	Entry   entryCommand   `cmd:"" group:"Processes" help:"Run an entry instance: accept calls and forward them to upstreams."`
	Control controlCommand `cmd:"" group:"Processes" help:"Run a control instance: replicate the configuration and manage the fleet."`
	Run     runCommand     `cmd:"" group:"Processes" help:"Run control and an entry in one process, to try the system on one machine."`

	Apply  applyCommand  `cmd:"" group:"Operators" help:"Submit a complete configuration."`
	Status statusCommand `cmd:"" group:"Operators" help:"Print the accepted version and the entries in which it is not in force."`
	Dump   dumpCommand   `cmd:"" group:"Operators" help:"Print the state of a process."`

	Explain explainCommand `cmd:"" group:"Operators" help:"Print the decisions about a recent call."`

	MakeCertificates makeCertificatesCommand `cmd:"" group:"Offline" help:"Generate a certificate authority and certificates for an initial setup."`

	Check   checkCommand   `cmd:"" group:"Offline" help:"Check a configuration or settings file."`
	MakeKey makeKeyCommand `cmd:"" group:"Offline" help:"Generate an API key and its configuration."`
	Version versionCommand `cmd:"" group:"Offline" help:"Print the version."`

	RecoverControl recoverControlCommand `cmd:"" group:"Offline" help:"Continue with one control instance after the permanent loss of a majority of the voters."`

	ShowVersion kong.VersionFlag `name:"version" help:"Print the version."`
}

// console holds the output streams of commands and the version that they print.
type console struct {
	out      io.Writer
	err      io.Writer
	version  string
	revision string
}

// ExitError is an error with the exit code for it.
type ExitError struct {
	Code ExitCode
	Err  error
}

// Error returns the cause's text.
func (e *ExitError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *ExitError) Unwrap() error { return e.Err }

// Run parses the arguments, runs the command and returns the exit code.
func Run(arguments []string, version, revision string, out, errOut io.Writer) ExitCode {
	exited := false
	command, err := kong.New(&options{},
		kong.Name("rosecroft"),
		kong.Description("Serves language models and applications on reclaimable machines.\n\n"+exitCodes),
		kong.Writers(out, errOut),
		kong.Exit(func(int) { exited = true }),
		kong.Vars{"version": version + " " + revision},
		kong.ConfigureHelp(kong.HelpOptions{
			Compact: true,
		}),
	)
	if err != nil {
		_, _ = fmt.Fprintln(errOut, err)
		return ExitUsage
	}
	parsed, err := command.Parse(arguments)
	if exited {
		return ExitOK
	}
	if err != nil {
		_, _ = fmt.Fprintf(errOut, "rosecroft: %v; see rosecroft --help\n", err)
		return ExitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	parsed.BindTo(ctx, (*context.Context)(nil))
	parsed.Bind(&console{
		out:      out,
		err:      errOut,
		version:  version,
		revision: revision,
	})
	return reportResult(parsed.Run(), errOut)
}

func reportResult(err error, errOut io.Writer) ExitCode {
	if err == nil {
		return ExitOK
	}
	_, _ = fmt.Fprintf(errOut, "rosecroft: %v\n", err)
	var exit *ExitError
	var problems parser.Problems
	switch {
	case errors.As(err, &exit):
		return exit.Code
	case errors.As(err, &problems):
		return ExitInvalid
	case errors.Is(err, syscall.EADDRINUSE):
		return ExitPortInUse
	case isDiskError(err):
		return ExitDisk
	}
	return ExitFailed
}

func isDiskError(err error) bool {
	for _, cause := range []error{fs.ErrPermission, syscall.EROFS, syscall.ENOSPC, syscall.ENOTDIR, syscall.EDQUOT} {
		if errors.Is(err, cause) {
			return true
		}
	}
	return false
}

// requestTimeout bounds a request to an instance.
const requestTimeout = 10 * time.Second
