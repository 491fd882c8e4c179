package tree

import (
	"regexp"
	"strings"

	"kumquathinge/core"
)

// Path names a node of the tree, for example "/models/alerts-70b/groups/g1".
type Path string

// Root is the path of the root node, from which every other node inherits.
const Root Path = "/"

// Place is a kind of node. A key states the places at which it may be set.
type Place string

// Places of the tree.
const (
	PlaceRoot    Place = "root"
	PlaceModel   Place = "model"
	PlaceGroup   Place = "group"
	PlaceOrg     Place = "org"
	PlaceService Place = "service"
	PlaceVM      Place = "vm"
	PlaceZone    Place = "zone"
	PlaceNode    Place = "node"
)

const maxNameLength = 128

var nameShape = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)

var topPlaces = map[string]Place{
	"models":   PlaceModel,
	"orgs":     PlaceOrg,
	"services": PlaceService,
	"vms":      PlaceVM,
	"zones":    PlaceZone,
	"nodes":    PlaceNode,
}

// ModelPath returns the path of a model's node.
func ModelPath(mod core.ModelName) Path { return Path("/models/" + mod) }

// GroupPath returns the path of a group's node.
func GroupPath(mod core.ModelName, grp core.GroupName) Path {
	return Path("/models/" + string(mod) + "/groups/" + string(grp))
}

// OrgPath returns the path of an organisation's node.
func OrgPath(org core.OrgName) Path { return Path("/orgs/" + org) }

// ServicePath returns the path of a plain service's node.
func ServicePath(svc string) Path { return Path("/services/" + svc) }

// VMPath returns the path of a VM's node.
func VMPath(vm core.VMName) Path { return Path("/vms/" + vm) }

// ZonePath returns the path of an availability zone's node.
func ZonePath(zon core.Zone) Path { return Path("/zones/" + zon) }

// NodePath returns the path of an entry VM's node.
func NodePath(nod core.NodeName) Path { return Path("/nodes/" + nod) }

// Parent returns the path that pth inherits from and false for the root.
func (pth Path) Parent() (Path, bool) {
	if pth == Root {
		return "", false
	}
	idx := strings.Index(string(pth), "/groups/")
	if idx > 0 && strings.HasPrefix(string(pth), "/models/") {
		return pth[:idx], true
	}
	return Root, true
}

// Name returns the last name of the path, which is empty for the root.
func (pth Path) Name() string {
	return string(pth[strings.LastIndexByte(string(pth), '/')+1:])
}

// Place returns the kind of node that pth names. Its error carries
// core.CodeNoSuchNode if pth has none of the shapes of the tree.
func (pth Path) Place() (Place, error) {
	if pth == Root {
		return PlaceRoot, nil
	}
	parts := strings.Split(string(pth), "/")
	if len(parts) < 3 || parts[0] != "" || !validName(parts[2]) {
		return "", errPath(pth)
	}
	plc, ok := topPlaces[parts[1]]
	if !ok {
		return "", errPath(pth)
	}
	if len(parts) == 3 {
		return plc, nil
	}
	if plc != PlaceModel || len(parts) != 5 || parts[3] != "groups" || !validName(parts[4]) {
		return "", errPath(pth)
	}
	return PlaceGroup, nil
}

func validName(nam string) bool {
	return len(nam) <= maxNameLength && nameShape.MatchString(nam)
}

func errPath(pth Path) error {
	return core.Errorf(core.CodeNoSuchNode, "%q is not the path of a node of the settings tree", string(pth))
}
