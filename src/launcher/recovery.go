package launcher

import (
	"context"
	"fmt"

	"github.com/rosecroft/rosecroft/src/control"
	"github.com/rosecroft/rosecroft/src/parser"
	"github.com/rosecroft/rosecroft/src/units"
)

type recoverControlCommand struct {
	Settings string           `arg:"" help:"Settings file of the stopped control instance that is to go on." type:"existingfile"`
	Log      string           `help:"Id of the log, as the instance's dump or its last start showed it." required:""`
	Lost     []units.Instance `help:"Every voter whose disk is lost for ever." required:""`
}

// Run makes the instance the only voter, after a majority was lost for ever.
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
