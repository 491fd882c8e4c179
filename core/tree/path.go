package tree

import (
	"regexp"
	"strings"

	"kumquathinge/core"
)

// Path is the path of a node, for example "/models/alerts-70b/groups/g1".
type Path string

// Root is the path of the root node, from which every other node inherits.
const Root Path = "/"

// NodeKind is the kind of a node. A key may be set only at certain kinds of
// nodes; see Key.AllowedAt.
type NodeKind string

// Kinds of nodes.
const (
	KindRoot    NodeKind = "root"
	KindModel   NodeKind = "model"
	KindGroup   NodeKind = "group"
	KindOrg     NodeKind = "org"
	KindService NodeKind = "service"
	KindVM      NodeKind = "vm"
	KindZone    NodeKind = "zone"
	KindNode    NodeKind = "node"
)

const maxNameLength = 128

var nameRegexp = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)

var kindBySegment = map[string]NodeKind{
	"models":   KindModel,
	"orgs":     KindOrg,
	"services": KindService,
	"vms":      KindVM,
	"zones":    KindZone,
	"nodes":    KindNode,
}

// ModelPath returns the path of a model's node.
func ModelPath(name core.ModelName) Path { return Path("/models/" + name) }

// GroupPath returns the path of a group's node.
func GroupPath(model core.ModelName, group core.GroupName) Path {
	return Path("/models/" + string(model) + "/groups/" + string(group))
}

// OrgPath returns the path of an organisation's node.
func OrgPath(name core.OrgName) Path { return Path("/orgs/" + name) }

// ServicePath returns the path of a plain service's node.
func ServicePath(name string) Path { return Path("/services/" + name) }

// VMPath returns the path of a VM's node.
func VMPath(name core.VMName) Path { return Path("/vms/" + name) }

// ZonePath returns the path of an availability zone's node.
func ZonePath(name core.Zone) Path { return Path("/zones/" + name) }

// NodePath returns the path of an entry VM's node.
func NodePath(name core.NodeName) Path { return Path("/nodes/" + name) }

// Parent returns the path that path inherits from. It returns false for the
// root.
func (path Path) Parent() (Path, bool) {
	if path == Root {
		return "", false
	}
	idx := strings.Index(string(path), "/groups/")
	if idx > 0 && strings.HasPrefix(string(path), "/models/") {
		return path[:idx], true
	}
	return Root, true
}

// Name returns the last segment of the path, which is empty for the root.
func (path Path) Name() string {
	return string(path[strings.LastIndexByte(string(path), '/')+1:])
}

// Kind returns the kind of the node at path. Its error carries
// core.CodeNoSuchNode if the path is not valid.
func (path Path) Kind() (NodeKind, error) {
	if path == Root {
		return KindRoot, nil
	}
	parts := strings.Split(string(path), "/")
	if len(parts) < 3 || parts[0] != "" || !validName(parts[2]) {
		return "", invalidPathError(path)
	}
	kind, ok := kindBySegment[parts[1]]
	if !ok {
		return "", invalidPathError(path)
	}
	if len(parts) == 3 {
		return kind, nil
	}
	if kind != KindModel || len(parts) != 5 || parts[3] != "groups" || !validName(parts[4]) {
		return "", invalidPathError(path)
	}
	return KindGroup, nil
}

func validName(name string) bool {
	return len(name) <= maxNameLength && nameRegexp.MatchString(name)
}

func invalidPathError(path Path) error {
	return core.Errorf(core.CodeNoSuchNode, "%q is not the path of a node of the settings tree", string(path))
}
