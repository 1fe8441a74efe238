// Command standin runs stand-ins for the systems around rosecroft: model engines, plain
// services and the platform's cloud API.
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

// upstreamOptions are the options that every kind of upstream has.
type upstreamOptions struct {
	Name       string        `help:"Name that the upstream announces." required:""`
	Service    string        `help:"Service that the upstream belongs to." required:""`
	Listen     string        `help:"Address to serve on." required:""`
	Entries    []string      `help:"Base URLs of the entries to announce to." required:""`
	DataCentre string        `help:"Data centre to announce." required:""`
	Class      string        `help:"Machine class to announce." default:"standard"`
	Price      float64       `help:"Price per hour to announce." default:"1"`
	OnDemand   bool          `help:"Announce an on-demand instance, which is not reclaimable."`
	Notice     time.Duration `help:"Time between SIGTERM and the exit." default:"5s"`
	Journal    string        `help:"Journal file to which every execution of a call is appended."`

	Certificate string `help:"Certificate file of the upstream, in PEM." and:"tls"`
	PrivateKey  string `help:"Private key file of the certificate, in PEM." and:"tls"`
	Authorities string `help:"File with the CA certificates that verify the entries, in PEM." and:"tls"`
}

type engineCommand struct {
	upstreamOptions
	Model         string        `help:"Model to serve." required:""`
	ModelVersion  string        `help:"Version of the model." default:"1"`
	Slots         int           `help:"Number of sequences that run concurrently." default:"16"`
	Step          time.Duration `help:"Duration of one engine step." default:"2ms"`
	Prefill       int           `help:"Prompt tokens computed per step." default:"128"`
	CacheBlocks   int           `help:"Capacity of the prefix cache in blocks." default:"512"`
	ChecksFencing bool          `help:"Refuse orders with an old fencing number."`
	Store         string        `help:"Base URL of the weight store; without one, loading a model takes the load time."`
	LoadTime      time.Duration `help:"Time that loading a model takes without a weight store." default:"500ms"`
	KVBytes       int           `help:"KV cache bytes per token." default:"4096"`
	KVRate        int           `help:"KV cache export rate in bytes per second; 0 disables the export." default:"100000000"`
	LoadLag       time.Duration `help:"Minimum age of the load values that are announced." default:"100ms"`
	EventGaps     float64       `help:"Fraction of cache events that is never sent." default:"0.1"`
}

type plainCommand struct {
	upstreamOptions
	Work time.Duration `help:"Processing time of a call." default:"5ms"`
}

type options struct {
	Engine engineCommand `cmd:"" help:"Run a stand-in model engine."`
	Plain  plainCommand  `cmd:"" help:"Run a stand-in plain service."`
	Cloud  cloudCommand  `cmd:"" help:"Run a stand-in for the platform's cloud API and weight store."`
}

func main() {
	cli := kong.Parse(&options{})
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	cli.BindTo(ctx, (*context.Context)(nil))
	cli.FatalIfErrorf(cli.Run())
}

// Run runs a stand-in model engine until the notice period after the signal has passed.
func (c *engineCommand) Run(ctx context.Context) error {
	engine := &standin.Engine{
		Options: standin.EngineOptions{
			Model:            c.Model,
			ModelVersion:     c.ModelVersion,
			Slots:            c.Slots,
			StepInterval:     c.Step,
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
	host, err := c.newHost(server.Ledger, server.Faults)
	if err != nil {
		return err
	}
	host.Announcement.Model = c.Model
	host.Announcement.ModelVersion = c.ModelVersion
	host.Announcement.Slots = uint32(c.Slots)
	host.Announcement.StepMs = float64(c.Step) / float64(time.Millisecond)
	orders := &standin.OrderHandler{
		Server:        server,
		About:         host.Announcement,
		ChecksFencing: c.ChecksFencing,
		StoreURL:      c.Store,
		LoadDuration:  c.LoadTime,
	}
	host.Services = append(server.Services(), orders.Services()...)
	host.UpdateAnnouncement = orders.Describe
	if host.Source != nil {
		server.Client = &http.Client{
			Transport: &http.Transport{
				TLSClientConfig: host.Source.ClientConfig(certifier.Upstream),
			},
		}
	}
	host.StopAccepting = func() { server.Leaving.Store(true) }
	host.Announcement.PrefillPerStep = uint32(c.Prefill)
	host.Announcement.KvBytesPerToken = uint32(c.KVBytes)
	host.Announcement.KvBytesPerSecond = uint64(c.KVRate)
	reporter := &standin.Reporter{
		Engine:        engine,
		MinLoadAge:    c.LoadLag,
		EventLossRate: c.EventGaps,
	}
	host.Load = reporter.Load
	host.CacheEvents = reporter.CacheEvents
	engine.Journal = server.Ledger.Journal
	go engine.Run(context.WithoutCancel(ctx))
	return host.Run(ctx)
}

// Run runs a stand-in plain service until the notice period after the signal has passed.
func (c *plainCommand) Run(ctx context.Context) error {
	plain := &standin.PlainService{
		Ledger:       &standin.Ledger{},
		Faults:       &standin.Faults{},
		CallDuration: c.Work,
	}
	host, err := c.newHost(plain.Ledger, plain.Faults)
	if err != nil {
		return err
	}
	host.Services = plain.Services()
	host.StopAccepting = func() { plain.Leaving.Store(true) }
	return host.Run(ctx)
}

func (u *upstreamOptions) newHost(ledger *standin.Ledger, faults *standin.Faults) (*standin.Host, error) {
	if u.Journal != "" {
		journal, err := standin.OpenJournal(u.Journal, u.Name)
		if err != nil {
			return nil, err
		}
		ledger.Journal = journal
	}
	listener, err := net.Listen("tcp", u.Listen)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w; choose a free port", u.Listen, err)
	}
	source, err := u.loadCertificate()
	if err != nil {
		return nil, err
	}
	scheme := "http"
	if source != nil {
		scheme = "https"
	}
	return &standin.Host{
		Source:       source,
		Listener:     listener,
		Entries:      u.Entries,
		Ledger:       ledger,
		Faults:       faults,
		NoticePeriod: u.Notice,
		Announcement: &messages.Announcement{
			Upstream:     u.Name,
			Service:      u.Service,
			Address:      scheme + "://" + listener.Addr().String(),
			DataCentre:   u.DataCentre,
			MachineClass: u.Class,
			Reclaimable:  !u.OnDemand,
			PricePerHour: u.Price,
			Incarnation:  uint64(time.Now().UnixNano()),
		},
	}, nil
}

// loadCertificate loads the certificate, or returns nil where the options name none.
func (u *upstreamOptions) loadCertificate() (*certifier.Source, error) {
	if u.Certificate == "" {
		return nil, nil
	}
	source := &certifier.Source{
		Files: parser.Listener{
			Certificate: u.Certificate,
			PrivateKey:  u.PrivateKey,
			Authorities: u.Authorities,
		},
	}
	if _, err := source.Load(); err != nil {
		return nil, fmt.Errorf("load the certificate: %w", err)
	}
	return source, nil
}
