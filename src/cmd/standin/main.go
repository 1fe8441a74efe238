// Command standin plays the systems that rosecroft serves.
package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"github.com/rosecroft/rosecroft/src/certifier"
	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/parser"
	"github.com/rosecroft/rosecroft/src/standin"
)

// common are the options of every upstream.
type common struct {
	Name       string        `help:"Name that the upstream announces." required:""`
	Service    string        `help:"Service that the upstream belongs to." required:""`
	Listen     string        `help:"Address to serve on." required:""`
	Entries    []string      `help:"Base URLs that take announcements." required:""`
	DataCentre string        `help:"Data centre to announce." required:""`
	Class      string        `help:"Machine class to announce." default:"standard"`
	Price      float64       `help:"Price per hour to announce." default:"1"`
	OnDemand   bool          `help:"Announce an on-demand instance, which is not reclaimable."`
	Notice     time.Duration `help:"Time between SIGTERM and the stop." default:"5s"`
	Journal    string        `help:"File to which every run of a call is appended."`

	Certificate string `help:"Certificate to announce with, in PEM." and:"tls"`
	PrivateKey  string `help:"The certificate's private key, in PEM." and:"tls"`
	Authorities string `help:"Certificates that verify the entries, in PEM." and:"tls"`
}

type engineCommand struct {
	common
	Model         string        `help:"Model to serve." required:""`
	ModelVersion  string        `help:"Version of the model." default:"1"`
	Slots         int           `help:"Sequences that run at once." default:"16"`
	Step          time.Duration `help:"Time of one step." default:"2ms"`
	Prefill       int           `help:"Prompt tokens computed in a step." default:"128"`
	CacheBlocks   int           `help:"Blocks that the prefix cache holds." default:"512"`
	ChecksFencing bool          `help:"Refuse orders with an old fencing number."`
	Store         string        `help:"Base URL of the weight store; without it a load takes the load time."`
	LoadTime      time.Duration `help:"Time of a load without a weight store." default:"500ms"`
	KVBytes       int           `help:"Bytes of KV cache for each token." default:"4096"`
	KVRate        int           `help:"Bytes of KV cache exported in a second; 0 exports none." default:"100000000"`
	LoadLag       time.Duration `help:"Age of the load that is announced." default:"100ms"`
	EventGaps     float64       `help:"Share of cache events that is never sent." default:"0.1"`
}

type plainCommand struct {
	common
	Work time.Duration `help:"Time that a call takes." default:"5ms"`
}

type options struct {
	Engine engineCommand `cmd:"" help:"Play a model engine."`
	Plain  plainCommand  `cmd:"" help:"Play a plain service."`
	Cloud  cloudCommand  `cmd:"" help:"Play the platform's cloud API and weight store."`
}

func main() {
	parsed := kong.Parse(&options{})
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	parsed.BindTo(ctx, (*context.Context)(nil))
	parsed.FatalIfErrorf(parsed.Run())
}

// Run plays a model engine until the notice has passed.
func (c *engineCommand) Run(ctx context.Context) error {
	engine := &standin.Engine{
		Options: standin.EngineOptions{
			Model:            c.Model,
			ModelVersion:     c.ModelVersion,
			Slots:            c.Slots,
			Step:             c.Step,
			PrefillPerStep:   c.Prefill,
			CacheBlocks:      c.CacheBlocks,
			KVBytesPerToken:  c.KVBytes,
			KVBytesPerSecond: c.KVRate,
		},
	}
	server := &standin.ModelServer{
		Engine: engine,
		Ledger: &standin.Ledger{},
		Faults: &standin.Faults{},
	}
	host, err := c.host(server.Ledger, server.Faults)
	if err != nil {
		return err
	}
	host.About.Model = c.Model
	host.About.ModelVersion = c.ModelVersion
	host.About.Slots = uint32(c.Slots)
	host.About.StepMs = float64(c.Step) / float64(time.Millisecond)
	orders := &standin.Orders{
		Server:   server,
		About:    host.About,
		Checks:   c.ChecksFencing,
		Store:    c.Store,
		LoadTime: c.LoadTime,
	}
	host.Services = append(server.Services(), orders.Services()...)
	host.Describe = orders.Describe
	if host.Source != nil {
		server.Client = &http.Client{
			Transport: &http.Transport{
				TLSClientConfig: host.Source.Client(certifier.Upstream),
			},
		}
	}
	host.Leave = func() { server.Leaving.Store(true) }
	host.About.PrefillPerStep = uint32(c.Prefill)
	host.About.KvBytesPerToken = uint32(c.KVBytes)
	host.About.KvBytesPerSecond = uint64(c.KVRate)
	reporter := &standin.Reporter{
		Engine: engine,
		Lag:    c.LoadLag,
		Gaps:   c.EventGaps,
	}
	host.Load = reporter.Load
	host.CacheEvents = reporter.CacheEvents
	engine.Journal = server.Ledger.Journal
	go engine.Run(context.WithoutCancel(ctx))
	return host.Run(ctx)
}

// Run plays a plain service until the notice has passed.
func (c *plainCommand) Run(ctx context.Context) error {
	plain := &standin.Plain{
		Ledger: &standin.Ledger{},
		Faults: &standin.Faults{},
		Work:   c.Work,
	}
	host, err := c.host(plain.Ledger, plain.Faults)
	if err != nil {
		return err
	}
	host.Services = plain.Services()
	host.Leave = func() { plain.Leaving.Store(true) }
	return host.Run(ctx)
}

func (c *common) host(ledger *standin.Ledger, faults *standin.Faults) (*standin.Host, error) {
	if c.Journal != "" {
		journal, err := standin.OpenJournal(c.Journal, c.Name)
		if err != nil {
			return nil, err
		}
		ledger.Journal = journal
	}
	listener, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w; choose a free port", c.Listen, err)
	}
	source, err := c.source()
	if err != nil {
		return nil, err
	}
	scheme := "http"
	if source != nil {
		scheme = "https"
	}
	return &standin.Host{
		Source:   source,
		Listener: listener,
		Entries:  c.Entries,
		Ledger:   ledger,
		Faults:   faults,
		Notice:   c.Notice,
		About: &messages.Announcement{
			Upstream:     c.Name,
			Service:      c.Service,
			Address:      scheme + "://" + listener.Addr().String(),
			DataCentre:   c.DataCentre,
			MachineClass: c.Class,
			Reclaimable:  !c.OnDemand,
			PricePerHour: c.Price,
			Incarnation:  uint64(time.Now().UnixNano()),
		},
	}, nil
}

// source loads the certificate, or returns nil where none is named.
func (c *common) source() (*certifier.Source, error) {
	if c.Certificate == "" {
		return nil, nil
	}
	source := &certifier.Source{
		Files: parser.Listener{
			Certificate: c.Certificate,
			PrivateKey:  c.PrivateKey,
			Authorities: c.Authorities,
		},
	}
	if _, err := source.Load(); err != nil {
		return nil, fmt.Errorf("load the certificate: %w", err)
	}
	return source, nil
}
