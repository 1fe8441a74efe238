package launcher

import (
	"context"
	"fmt"

	"github.com/rosecroft/rosecroft/src/control"
	"github.com/rosecroft/rosecroft/src/parser"
	"github.com/rosecroft/rosecroft/src/units"
)

type recoverControlCommand struct {
	Settings string           `arg:"" help:"Settings file of the stopped control instance to continue with." type:"existingfile"`
	Log      string           `help:"ID of the log, from the instance's dump or its log of the last start." required:""`
	Lost     []units.Instance `help:"All voters whose disks are permanently lost." required:""`
}

// Run makes the instance the only voter after the permanent loss of a majority.
func (c *recoverControlCommand) Run(ctx context.Context, console *console) error {
	settings, err := readSettings(c.Settings, parser.Control)
	if err != nil {
		return err
	}
	recovery := &control.Recovery{
		Settings:   settings,
		LogID:      c.Log,
		LostVoters: c.Lost,
	}
	logID, err := recovery.Run(ctx)
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(console.out, "%s is the only voter of log %s; empty the data folders of all other control instances, then start them all\n",
		settings.Name, logID)
	return nil
}
