package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"strconv"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"rockwind.example/rockwind/internal/rockwindpb"
)

// Limits of the settings.
const (
	minimumExchangeInterval = 100 * time.Millisecond
	maximumExchangeInterval = 10 * time.Second
	minimumTick             = 5 * time.Millisecond
	maximumTick             = time.Second
	maximumBatchConcurrency = 100_000
)

const addressRemedy = "write an IP number and a port, for example 10.0.0.1:8080"

func defaultDuration(value **durationpb.Duration, fallback time.Duration) {
	if *value == nil {
		*value = durationpb.New(fallback)
	}
}

func (l *loader) checkGateway(settings *rockwindpb.GatewaySettings) {
	l.checkNotEmpty(fieldPath{"name"}, settings.GetName(), "give each gateway a name of its own")
	l.checkNotEmpty(fieldPath{"zone"}, settings.GetZone(), "name the zone that the machine stands in")
	l.checkAddress(fieldPath{"listen"}, settings.GetListen())
	l.checkAddress(fieldPath{"internal_listen"}, settings.GetInternalListen())
	if settings.GetListen() == settings.GetInternalListen() && settings.GetListen() != "" {
		l.add(fieldPath{"internal_listen"}, "listen and internal_listen are the same address", "use two ports")
	}
	l.checkNotEmpty(fieldPath{"data_folder"}, settings.GetDataFolder(), "name a folder for the daemon's files")
	l.checkMachines(settings.GetControl())
	l.checkTLS("caller_tls", settings.GetCallerTls())
	l.checkMutualTLS("internal_tls", settings.GetInternalTls())
	l.checkURL(fieldPath{"platform_url"}, settings.GetPlatformUrl())
	l.checkDuration(fieldPath{"exchange_interval"}, settings.GetExchangeInterval(), minimumExchangeInterval, maximumExchangeInterval)
	if settings.GetBatchConcurrency() > maximumBatchConcurrency {
		l.add(fieldPath{"batch_concurrency"}, fmt.Sprintf("batch_concurrency is %d", settings.GetBatchConcurrency()), "write at most 100000")
	}
}

func (l *loader) checkControl(settings *rockwindpb.ControlSettings) {
	l.checkNotEmpty(fieldPath{"machine"}, settings.GetMachine(), "give each control machine a name of its own")
	l.checkNotEmpty(fieldPath{"zone"}, settings.GetZone(), "name the zone that the machine stands in")
	l.checkAddress(fieldPath{"listen"}, settings.GetListen())
	l.checkNotEmpty(fieldPath{"data_folder"}, settings.GetDataFolder(), "name a folder for the daemon's files")
	l.checkMachines(settings.GetControl())
	l.checkOwnMachine(settings)
	l.checkMutualTLS("internal_tls", settings.GetInternalTls())
	l.checkDuration(fieldPath{"tick"}, settings.GetTick(), minimumTick, maximumTick)
	l.checkPlacement(settings.GetPlacement())
}

func (l *loader) checkOwnMachine(settings *rockwindpb.ControlSettings) {
	for _, machine := range settings.GetControl() {
		if machine.GetMachine() == settings.GetMachine() {
			return
		}
	}
	l.add(fieldPath{"control"}, fmt.Sprintf("the list of control machines lacks this one, %q", settings.GetMachine()), "list all control machines, this one included")
}

func (l *loader) checkNotEmpty(path fieldPath, value, remedy string) {
	if value == "" {
		l.add(path, "the setting "+path.String()+" is missing", remedy)
	}
}

func (l *loader) checkAddress(path fieldPath, value string) {
	address, err := netip.ParseAddrPort(value)
	if err != nil || address.Port() == 0 {
		l.add(path, fmt.Sprintf("the setting %s is %q", path, value), addressRemedy)
	}
}

func (l *loader) checkMachines(machines []*rockwindpb.ControlMachine) {
	path := fieldPath{"control"}
	if len(machines) == 0 {
		l.add(path, "no control machine is listed", "list all control machines with machine, address and zone")
	}
	names := make(map[string]bool)
	addresses := make(map[string]bool)
	for i, machine := range machines {
		which := "control machine " + strconv.Itoa(i+1)
		address, err := netip.ParseAddrPort(machine.GetAddress())
		if err != nil || address.Port() == 0 || address.Addr().IsUnspecified() {
			l.add(path, fmt.Sprintf("%s has the address %q", which, machine.GetAddress()), addressRemedy)
		}
		if machine.GetMachine() == "" || names[machine.GetMachine()] {
			l.add(path, fmt.Sprintf("%s has the name %q", which, machine.GetMachine()), "give each control machine a name of its own")
		}
		if addresses[machine.GetAddress()] {
			l.add(path, fmt.Sprintf("%s has an address that another has", which), "give each control machine an address of its own")
		}
		names[machine.GetMachine()] = true
		addresses[machine.GetAddress()] = true
	}
}

func (l *loader) checkTLS(name string, settings *rockwindpb.TlsSettings) {
	certificate := fieldPath{name, "certificate_file"}
	key := fieldPath{name, "key_file"}
	authority := fieldPath{name, "ca_file"}
	l.checkReadable(certificate, settings.GetCertificateFile())
	l.checkReadable(key, settings.GetKeyFile())
	l.checkReadable(authority, settings.GetCaFile())
	if (settings.GetCertificateFile() == "") != (settings.GetKeyFile() == "") {
		l.add(certificate, name+" has one of certificate_file and key_file", "give both or none")
	}
	if settings.GetCaFile() != "" && settings.GetCertificateFile() == "" {
		l.add(authority, name+" has a ca_file but no certificate", "give certificate_file and key_file as well")
	}
}

// checkMutualTLS checks the files for mutual TLS, which needs a certificate authority.
func (l *loader) checkMutualTLS(name string, settings *rockwindpb.TlsSettings) {
	l.checkTLS(name, settings)
	if settings.GetCertificateFile() != "" && settings.GetCaFile() == "" {
		l.add(fieldPath{name, "ca_file"}, name+" has no ca_file", "name the authority that signs the certificates of all daemons")
	}
}

func (l *loader) checkReadable(path fieldPath, file string) {
	if file == "" {
		return
	}
	opened, err := os.Open(file)
	if err != nil {
		l.add(path, fmt.Sprintf("the file of %s cannot be read: %v", path, err), "check the path and its permissions")
		return
	}
	opened.Close()
}

func (l *loader) checkURL(path fieldPath, value string) {
	if value == "" {
		return
	}
	parsed, err := url.Parse(value)
	if err != nil || (parsed.Scheme != "http" && parsed.Scheme != "https") || parsed.Host == "" {
		l.add(path, fmt.Sprintf("the setting %s is %q", path, value), "write a URL, for example http://10.0.0.5:9000")
	}
}

func (l *loader) checkDuration(path fieldPath, value *durationpb.Duration, lowest, highest time.Duration) {
	length := value.AsDuration()
	if length < lowest || length > highest {
		l.add(path, fmt.Sprintf("the setting %s is %v", path, length), fmt.Sprintf("write a duration from %v to %v", lowest, highest))
	}
}
