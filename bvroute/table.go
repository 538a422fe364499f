package bvroute

import (
	"fmt"
	"slices"
	"strings"
)

// Table is one version of the routes, services, workspaces and limits. It is immutable, so
// many goroutines may read it.
type Table struct {
	version    int64
	byHost     map[string][]*Route // longest prefix first
	services   map[string]*Service
	limits     Limits
	workspaces *workspaces // nil where requests need no key
}

// Rows holds the rows of a Table.
type Rows struct {
	Version  int64
	Routes   []Route
	Services []Service
	Limits   Limits
	// NeedKeys is set where requests need the key of a workspace.
	NeedKeys   bool
	Workspaces []Workspace
}

// NewTable returns a version of the desired state, or an error that names the first
// invalid row.
func NewTable(rows Rows) (*Table, error) {
	table := &Table{
		version:  rows.Version,
		byHost:   make(map[string][]*Route),
		services: make(map[string]*Service, len(rows.Services)),
		limits:   rows.Limits,
	}
	if rows.NeedKeys {
		workspaces, err := newWorkspaces(rows.Workspaces)
		if err != nil {
			return nil, err
		}
		table.workspaces = workspaces
	}
	for i := range rows.Services {
		table.services[rows.Services[i].Name] = &rows.Services[i]
	}
	for i := range rows.Routes {
		if err := table.add(&rows.Routes[i]); err != nil {
			return nil, err
		}
	}
	for _, sorted := range table.byHost {
		slices.SortStableFunc(sorted, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return table, nil
}

func (table *Table) add(route *Route) error {
	if !strings.HasPrefix(route.Prefix, "/") || !strings.HasSuffix(route.Prefix, "/") {
		return fmt.Errorf("route %s: prefix %q doesn't begin and end with a slash", route.Name, route.Prefix)
	}
	for _, target := range route.Targets {
		if table.services[target.Service] == nil {
			return fmt.Errorf("route %s: service %q is not in the table", route.Name, target.Service)
		}
	}
	route.Attempts = max(route.Attempts, 1)
	table.byHost[route.Host] = append(table.byHost[route.Host], route)
	return nil
}

// Rows returns the table's rows.
func (table *Table) Rows() Rows {
	rows := Rows{Version: table.version, Limits: table.limits, NeedKeys: table.NeedsKeys(), Workspaces: table.Workspaces()}
	for _, routes := range table.byHost {
		for _, route := range routes {
			rows.Routes = append(rows.Routes, *route)
		}
	}
	for _, name := range table.ServiceNames() {
		rows.Services = append(rows.Services, *table.services[name])
	}
	return rows
}

// Version returns the version, which rises with each change.
func (table *Table) Version() int64 { return table.version }

// NeedsKeys reports whether requests need the key of a workspace.
func (table *Table) NeedsKeys() bool { return table.workspaces != nil }

// WorkspaceByKey returns the workspace that holds an API key.
func (table *Table) WorkspaceByKey(key string) (*Workspace, bool) { return table.workspaces.find(key) }

// Workspaces returns all workspaces. They must not be changed.
func (table *Table) Workspaces() []Workspace {
	if table.workspaces == nil {
		return nil
	}
	return table.workspaces.rows
}

// SharedKeyCount returns how many keys are listed by more than one workspace.
func (table *Table) SharedKeyCount() int {
	if table.workspaces == nil {
		return 0
	}
	return table.workspaces.sharedKeys
}

// Limits returns the bounds on client requests.
func (table *Table) Limits() Limits { return table.limits }

// RouteCount returns how many routes there are.
func (table *Table) RouteCount() int {
	count := 0
	for _, routes := range table.byHost {
		count += len(routes)
	}
	return count
}

// Match returns the route of a request's host name and path.
func (table *Table) Match(host, path string) (*Route, bool) {
	for _, route := range table.byHost[withoutPort(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route, true
		}
	}
	return nil, false
}

func withoutPort(host string) string {
	name, _, _ := strings.Cut(host, ":")
	return strings.ToLower(name)
}

// StreamTarget is a service that streams of a host name may go to.
type StreamTarget struct {
	Host    string
	Service string
}

// StreamTargets returns the targets of all routes with streams, each once.
func (table *Table) StreamTargets() []StreamTarget {
	var targets []StreamTarget
	known := make(map[StreamTarget]bool)
	for host, routes := range table.byHost {
		for _, route := range routes {
			for _, target := range route.Targets {
				found := StreamTarget{host, target.Service}
				if route.Kind == Stream && target.Weight > 0 && !known[found] {
					known[found] = true
					targets = append(targets, found)
				}
			}
		}
	}
	return targets
}

// ServiceByName returns a service.
func (table *Table) ServiceByName(name string) (*Service, bool) {
	service, found := table.services[name]
	return service, found
}

// ServiceNames returns the names of all services, sorted.
func (table *Table) ServiceNames() []string {
	names := make([]string, 0, len(table.services))
	for name := range table.services {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
