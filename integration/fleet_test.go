package integration

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"acaciakeel/entry"
	"acaciakeel/internal/faultproxy"
)

// binDir holds the programs, built once with the race detector.
var binDir string

func TestMain(m *testing.M) {
	code, err := buildAndRun(m)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	os.Exit(code)
}

func buildAndRun(m *testing.M) (int, error) {
	dir, err := os.MkdirTemp("", "acaciakeel-bin")
	if err != nil {
		return 1, err
	}
	defer os.RemoveAll(dir)
	binDir = dir
	build := exec.Command("go", "build", "-race", "-o", dir+"/", "./cmd/...")
	build.Dir = ".."
	if out, err := build.CombinedOutput(); err != nil {
		return 1, fmt.Errorf("build programs: %w\n%s", err, out)
	}
	return m.Run(), nil
}

const (
	operatorKey = "operator-key"
	model       = "catalogue"
	service     = "cart"
	customers   = 2
)

func customerKey(i int) string { return fmt.Sprintf("customer-%d-key", i) }

// process is one running program.
type process struct {
	name string
	args []string
	cmd  *exec.Cmd
	log  *os.File
}

// fleet is a deployment of real processes, with a fault proxy before the
// platform, each agent and each target.
type fleet struct {
	t         *testing.T
	dir       string
	processes map[string]*process
	proxies   map[string]*faultproxy.Proxy
	// copiers stand between agents and the proxies of targets, by the target's name.
	copiers map[string]*copier
	addr    map[string]string
	options fleetOptions
}

type fleetOptions struct {
	runners, services, entries int
	// builds is over how many software versions the engines are divided; 0 states none.
	builds int
	// workMS is the time of one call at a service, in milliseconds.
	workMS int
	// copies has targets send answers too many.
	copies bool
	// era has the platform's service say how often it was restored.
	era bool
	// engine, agent and entry are TOML lines for all of a kind.
	engine string
	agent  string
	entry  string
}

func newFleet(t *testing.T, o fleetOptions) *fleet {
	f := &fleet{
		t:         t,
		dir:       t.TempDir(),
		processes: map[string]*process{},
		proxies:   map[string]*faultproxy.Proxy{},
		copiers:   map[string]*copier{},
		addr:      map[string]string{},
		options:   o,
	}
	t.Cleanup(f.stopAll)
	f.startStandins()
	f.startAgents()
	f.startEntries()
	f.apply()
	return f
}

// nextPort counts up through ports below those that the kernel hands out by itself and above those of
// the soak, so that no connection or other test takes one between its being found free and its process
// listening. Runs of these tests beside each other begin at different ports.
var nextPort atomic.Int32

const (
	firstPort, lastPort = 30000, 32767
	portsOfARun         = 300
)

func init() {
	nextPort.Store(int32(os.Getpid() * portsOfARun % (lastPort - firstPort)))
}

func freeAddr(t *testing.T) string {
	t.Helper()
	for range lastPort - firstPort {
		port := firstPort + int(nextPort.Add(1))%(lastPort-firstPort)
		addr := fmt.Sprintf("127.0.0.1:%d", port)
		l, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		l.Close()
		return addr
	}
	t.Fatal("no port is free")
	return ""
}

// place gives a name an address, and a proxied one beside it where asked.
func (f *fleet) place(name string, proxied bool) {
	f.addr[name] = freeAddr(f.t)
	if !proxied {
		return
	}
	p, err := faultproxy.New(f.addr[name])
	if err != nil {
		f.t.Fatal(err)
	}
	f.proxies[name] = p
}

// url returns where others reach a process: through its proxy if it has one.
func (f *fleet) url(name string) string {
	if c := f.copiers[name]; c != nil {
		return "http://" + c.addr()
	}
	if p := f.proxies[name]; p != nil {
		return "http://" + p.Addr()
	}
	return "http://" + f.addr[name]
}

func (f *fleet) direct(name string) string {
	return "http://" + f.addr[name]
}

func (f *fleet) targets() (runners, services []string) {
	for i := range f.options.runners {
		runners = append(runners, fmt.Sprintf("runner-%d", i))
	}
	for i := range f.options.services {
		services = append(services, fmt.Sprintf("desk-%d", i))
	}
	return runners, services
}

func (f *fleet) startStandins() {
	f.place("platform", true)
	f.spawn("platform", "acaciakeel-standin", "platform", "--lag", "100ms", "--listen", f.addr["platform"], fmt.Sprintf("--era=%t", f.options.era))
	f.awaitUp("platform")
	f.write("engine.toml", f.options.engine)
	runners, services := f.targets()
	for i, name := range runners {
		f.place(name, true)
		f.spawn(name, "acaciakeel-standin", "engine", "-c", filepath.Join(f.dir, "engine.toml"), "--listen", f.addr[name], "--build", f.build(i))
	}
	for _, name := range services {
		f.place(name, true)
		f.spawn(name, "acaciakeel-standin", "service", "--work-ms", fmt.Sprint(f.options.workMS), "--listen", f.addr[name])
	}
	for _, name := range append(runners, services...) {
		f.awaitUp(name)
		if f.options.copies {
			f.copiers[name] = newCopier(f.t, f.proxies[name].Addr())
		}
	}
}

// build returns the software version of engine i.
func (f *fleet) build(i int) string {
	if f.options.builds == 0 {
		return ""
	}
	return fmt.Sprintf("b%d", i%f.options.builds)
}

// continuations returns how many streams were continued by a further attempt, and how many of
// them at an engine of another software version than the one that began them.
func (f *fleet) continuations() (all, otherBuild int) {
	f.t.Helper()
	// Each stream's builds, and the attempts of it that produced a token.
	builds, attempts := map[string]map[string]bool{}, map[string]int{}
	runners, _ := f.targets()
	for i, name := range runners {
		for _, id := range f.begun(name) {
			request, _, _ := strings.Cut(id, ".")
			if builds[request] == nil {
				builds[request] = map[string]bool{}
			}
			builds[request][f.build(i)] = true
			attempts[request]++
		}
	}
	for request, n := range attempts {
		if n > 1 {
			all++
		}
		if len(builds[request]) > 1 {
			otherBuild++
		}
	}
	return all, otherBuild
}

// begun returns the IDs of the streams that an engine has begun.
func (f *fleet) begun(name string) []string {
	f.t.Helper()
	var begun []string
	if err := json.Unmarshal([]byte(f.http(http.MethodGet, f.direct(name)+"/truth/begun", "")), &begun); err != nil {
		f.t.Fatal(err)
	}
	return begun
}

// busiestOf returns the engine of a software version that has begun most streams.
func (f *fleet) busiestOf(build string) string {
	f.t.Helper()
	busiest, most := "", -1
	runners, _ := f.targets()
	for i, name := range runners {
		if n := len(f.begun(name)); f.build(i) == build && n > most {
			busiest, most = name, n
		}
	}
	return busiest
}

func (f *fleet) startAgents() {
	runners, services := f.targets()
	for i := range f.options.entries {
		f.place(fmt.Sprintf("entry-%d", i), false)
	}
	for _, name := range append(runners, services...) {
		f.place("agent-"+name, true)
		kind := "engine"
		if strings.HasPrefix(name, "desk") {
			kind = "service"
		}
		f.write("agent-"+name+".toml", f.selfSettings("agent-"+name)+fmt.Sprintf("[target]\nname = %q\nkind = %q\nurl = %q\n%s", name, kind, f.url(name), f.options.agent))
		f.list("agent-"+name, "agent", false)
		f.spawnDaemon("agent-" + name)
	}
}

// entryRouting are the settings of entries' routing. At a busy machine agents answer later than within
// the default of 100 ms; an entry then refuses with no_target or chooses without what they know.
const entryRouting = "[routing]\nask_timeout_ms = 2000\n"

func (f *fleet) startEntries() {
	for i := range f.options.entries {
		name := fmt.Sprintf("entry-%d", i)
		f.write(name+".toml", f.options.entry+"\n"+entryRouting+f.selfSettings(name)+fmt.Sprintf("[[operator]]\nname = \"test\"\nkey_hash = %q\nrole = \"writer\"\n", entry.HashKey(operatorKey)))
		f.list(name, "entry", false)
		f.spawnDaemon(name)
	}
	for i := range f.options.entries {
		f.awaitUp(fmt.Sprintf("entry-%d", i))
	}
}

func (f *fleet) selfSettings(name string) string {
	return fmt.Sprintf("[self]\nname = %q\nlisten = %q\ndata_centre = \"barracas\"\nregion = \"amba\"\n[platform]\nurl = %q\nneighbours = [%q]\n",
		name, f.addr[name], f.url("platform"), f.direct("entry-0"))
}

func (f *fleet) list(name, role string, leaving bool) {
	body := fmt.Sprintf(`{"name":%q,"role":%q,"data_centre":{"name":"barracas","region":"amba"},"url":%q,"leaving":%v}`, name, role, f.direct(name), leaving)
	f.http(http.MethodPut, f.direct("platform")+"/admin/vms", body)
}

func (f *fleet) spawnDaemon(name string) {
	program := "acaciakeel-entry"
	if strings.HasPrefix(name, "agent-") {
		program = "acaciakeel-agent"
	}
	f.spawn(name, program, "run", "-c", filepath.Join(f.dir, name+".toml"))
}

func (f *fleet) spawn(name, program string, args ...string) {
	f.t.Helper()
	p := &process{name: name, args: append([]string{program}, args...)}
	f.processes[name] = p
	f.run(p)
}

func (f *fleet) run(p *process) {
	f.t.Helper()
	log, err := os.OpenFile(filepath.Join(f.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		f.t.Fatal(err)
	}
	p.log = log
	p.cmd = exec.Command(filepath.Join(binDir, p.args[0]), p.args[1:]...)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	if err := p.cmd.Start(); err != nil {
		f.t.Fatal(err)
	}
}

func (f *fleet) kill(name string) {
	p := f.processes[name]
	_ = p.cmd.Process.Kill()
	_ = p.cmd.Wait()
}

func (f *fleet) signal(name string, s syscall.Signal) {
	_ = f.processes[name].cmd.Process.Signal(s)
}

// stop ends a process in order and returns whether it went by itself.
func (f *fleet) stop(name string) error {
	f.signal(name, syscall.SIGTERM)
	done := make(chan error, 1)
	go func() { done <- f.processes[name].cmd.Wait() }()
	select {
	case err := <-done:
		return err
	case <-time.After(20 * time.Second):
		return fmt.Errorf("%s did not stop within 20 s", name)
	}
}

func (f *fleet) restart(name string) {
	f.run(f.processes[name])
	f.awaitUp(name)
}

// stopAll ends every process and shows the logs of a failed test. A data race
// that a process reported fails the test.
func (f *fleet) stopAll() {
	for _, p := range f.processes {
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Kill()
		_ = p.cmd.Wait()
		p.log.Close()
	}
	for _, p := range f.proxies {
		p.Close()
	}
	for name := range f.processes {
		log, _ := os.ReadFile(filepath.Join(f.dir, name+".log"))
		if bytes.Contains(log, []byte("DATA RACE")) || bytes.Contains(log, []byte("panic:")) {
			f.t.Errorf("%s reported a race or a panic:\n%s", name, tail(log))
		} else if f.t.Failed() && testing.Verbose() {
			f.t.Logf("%s:\n%s", name, tail(log))
		}
	}
}

func tail(log []byte) []byte {
	const most = 4000
	if len(log) > most {
		return log[len(log)-most:]
	}
	return log
}

func (f *fleet) write(name, text string) {
	f.t.Helper()
	if err := os.WriteFile(filepath.Join(f.dir, name), []byte(text), 0o600); err != nil {
		f.t.Fatal(err)
	}
}

func (f *fleet) awaitUp(name string) {
	f.t.Helper()
	f.eventually(name+" answers", func() bool {
		resp, err := http.Get(f.direct(name) + "/healthz")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
}

// eventually waits for a condition; what takes longer than this is a failure,
// not a slow machine.
func (f *fleet) eventually(what string, holds func() bool) {
	f.t.Helper()
	deadline := time.Now().Add(30 * time.Second)
	for !holds() {
		if time.Now().After(deadline) {
			f.t.Fatalf("it never came true that %s", what)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func (f *fleet) http(method, url, body string) string {
	f.t.Helper()
	req, err := http.NewRequestWithContext(context.Background(), method, url, strings.NewReader(body))
	if err != nil {
		f.t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		f.t.Fatal(err)
	}
	defer resp.Body.Close()
	var out bytes.Buffer
	_, _ = out.ReadFrom(resp.Body)
	return out.String()
}

func (f *fleet) keelctl(args ...string) (string, error) {
	cmd := exec.Command(filepath.Join(binDir, "keelctl"), append([]string{"--entry", f.direct("entry-0"), "--key", operatorKey}, args...)...)
	out, err := cmd.CombinedOutput()
	return string(out), err
}

// provableAfter is how long after its start, or after the last change of the
// targets, an agent can't prove a key that carries its time to be new: the margin
// of its clock by default, and some. Until then it answers such a call with an
// unknown outcome, as an earlier process of it may have run it.
const provableAfter = 2200 * time.Millisecond

// apply applies the fleet's resources and waits until all have them, and the
// agents of services can prove keys to be new.
func (f *fleet) apply() {
	f.t.Helper()
	f.write("fleet.toml", f.manifest())
	// An entry that just started has no configuration, even an empty one, and
	// refuses operators' changes until it has.
	f.eventually("the first entry is ready", func() bool { return f.ready("entry-0") })
	if out, err := f.keelctl("apply", "-f", filepath.Join(f.dir, "fleet.toml")); err != nil {
		f.t.Fatalf("apply: %v\n%s", err, out)
	}
	processes := f.options.entries + f.options.runners + f.options.services
	if out, err := f.keelctl("wait", "--timeout", "20s", "--processes", fmt.Sprint(processes)); err != nil {
		f.t.Fatalf("wait: %v\n%s", err, out)
	}
	runners, services := f.targets()
	if len(services) > 0 {
		time.Sleep(provableAfter)
	}
	for _, name := range runners {
		f.eventually("the agent of "+name+" sees its engine", func() bool { return f.ready("agent-" + name) })
	}
}

// ready reports whether a process says that it is ready.
func (f *fleet) ready(process string) bool {
	resp, err := http.Get(f.direct(process) + "/readyz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (f *fleet) manifest() string {
	var b strings.Builder
	fmt.Fprintf(&b, "[[model]]\nname = %q\nweights_version = \"v1\"\nadapters = [\"tone\"]\n[[service]]\nname = %q\nidempotent_paths = [\"/checks\"]\n", model, service)
	for i := range customers {
		fmt.Fprintf(&b, "[[customer]]\nname = \"customer-%d\"\nkey_hashes = [%q]\n", i, entry.HashKey(customerKey(i)))
	}
	runners, services := f.targets()
	for _, name := range runners {
		fmt.Fprintf(&b, "[[target]]\nname = %q\nvm = \"agent-%[1]s\"\nmodel = %q\nagent_url = %q\ndata_centre = \"barracas\"\nregion = \"amba\"\n", name, model, f.url("agent-"+name))
	}
	for _, name := range services {
		fmt.Fprintf(&b, "[[target]]\nname = %q\nvm = \"agent-%[1]s\"\nservice = %q\nagent_url = %q\ndata_centre = \"barracas\"\nregion = \"amba\"\n", name, service, f.url("agent-"+name))
	}
	return b.String()
}

// runs returns how often the services ran a call with the body.
func (f *fleet) runs(body string) int {
	f.t.Helper()
	n := 0
	_, services := f.targets()
	for _, name := range services {
		var truth map[string]int
		if err := json.Unmarshal([]byte(f.http(http.MethodGet, f.direct(name)+"/truth", "")), &truth); err != nil {
			f.t.Fatal(err)
		}
		for call, times := range truth {
			if strings.HasSuffix(call, " "+body) {
				n += times
			}
		}
	}
	return n
}

// counter returns the sum of a metric of a process.
func (f *fleet) counter(name, metric string) float64 {
	sum := 0.0
	for line := range strings.Lines(f.http(http.MethodGet, f.direct(name)+"/metrics", "")) {
		if !strings.HasPrefix(line, metric) {
			continue
		}
		var v float64
		fields := strings.Fields(line)
		if _, err := fmt.Sscan(fields[len(fields)-1], &v); err == nil {
			sum += v
		}
	}
	return sum
}
