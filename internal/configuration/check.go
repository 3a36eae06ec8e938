package configuration

import (
	"math"
	"strings"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"rockwind.example/rockwind/internal/rockwindpb"
)

// Limits of the values in a configuration.
const (
	maximumNameBytes = 128
	maximumShare     = 1e6
	maximumWeight    = 1e6
	maximumTries     = 1000
	maximumDuration  = 10 * 365 * 24 * time.Hour
	minimumRatio     = 0.001
	maximumRatio     = 1.0
)

// positionFinder finds the position of a value in a file.
type positionFinder interface {
	Position(path ...Step) Position
}

// noPositions is the positionFinder of configurations that did not come from a file.
type noPositions struct{}

// Position implements positionFinder.
func (noPositions) Position(...Step) Position { return Position{} }

// checker validates the values and references of a decoded configuration.
type checker struct {
	configuration *rockwindpb.Configuration
	positions     positionFinder
	problems      *problemList

	groups   map[string]bool
	models   map[string]*rockwindpb.Model
	services map[string]*rockwindpb.Service
}

func (c *checker) run() {
	if c.configuration.GetNumber() == 0 {
		c.problems.add(c.positions.Position(field("number")), "the configuration has no number",
			"set 'number' to one more than the number in force; 'rockwind get configuration' shows it")
	}
	c.indexObjects()
	c.checkGroups()
	c.checkTenants()
	c.checkModels()
	c.checkServices()
	c.checkBatchClasses()
	c.checkBackEnds()
	c.checkPolicy()
	c.checkRoutes()
	c.checkCommonRegions()
}

func (c *checker) indexObjects() {
	c.groups = make(map[string]bool)
	c.models = make(map[string]*rockwindpb.Model)
	c.services = make(map[string]*rockwindpb.Service)
	for _, group := range c.configuration.GetGroups() {
		c.groups[group.GetName()] = true
	}
	for _, model := range c.configuration.GetModels() {
		c.models[model.GetName()] = model
	}
	for _, service := range c.configuration.GetServices() {
		c.services[service.GetName()] = service
	}
}

// field returns a step to a whole field.
func field(name string) Step {
	return Step{Field: name, Element: -1}
}

// element returns a step to one element of a repeated field.
func element(name string, index int) Step {
	return Step{Field: name, Element: index}
}

// at returns the position of the path extended by one step.
func (c *checker) at(path []Step, last Step) Position {
	return c.positions.Position(append(path[:len(path):len(path)], last)...)
}

// nameChecker reports invalid and duplicate names of one kind of object.
type nameChecker struct {
	checker *checker
	kind    string
	seen    map[string]bool
}

func (c *checker) newNameChecker(kind string) *nameChecker {
	return &nameChecker{checker: c, kind: kind, seen: make(map[string]bool)}
}

func (n *nameChecker) check(name string, at Position) {
	if problem := nameProblem(name); problem != "" {
		n.checker.problems.addf(at, "use 1 to 128 letters, digits, '.', '_', '-' or '/', starting with a letter or digit",
			"the %s name %q %s", n.kind, abbreviate(name), problem)
		return
	}
	if n.seen[name] {
		n.checker.problems.addf(at, "rename or remove one of them", "there are two %s entries named %q", n.kind, name)
		return
	}
	n.seen[name] = true
}

func nameProblem(name string) string {
	if name == "" {
		return "is missing"
	}
	if len(name) > maximumNameBytes {
		return "is too long"
	}
	if !isAlphanumeric(name[0]) {
		return "starts with a character that is not allowed there"
	}
	for i := range len(name) {
		if !isAlphanumeric(name[i]) && !strings.ContainsRune("._-/", rune(name[i])) {
			return "holds a character that is not allowed"
		}
	}
	return ""
}

func isAlphanumeric(character byte) bool {
	switch {
	case character >= 'a' && character <= 'z':
		return true
	case character >= 'A' && character <= 'Z':
		return true
	default:
		return character >= '0' && character <= '9'
	}
}

func (c *checker) checkGroups() {
	names := c.newNameChecker("group")
	for i, group := range c.configuration.GetGroups() {
		path := []Step{element("groups", i)}
		names.check(group.GetName(), c.at(path, field("name")))
		if !inRange(group.GetShare(), math.SmallestNonzeroFloat64, maximumShare) {
			c.problems.addf(c.at(path, field("share")), "give the group a share above 0, at most 1000000",
				"the share of group %q is %v", abbreviate(group.GetName()), group.GetShare())
		}
		if _, known := rockwindpb.Objective_name[int32(group.GetObjective())]; !known {
			c.problems.addf(c.at(path, field("objective")), "write throughput or latency",
				"the objective %d of group %q is unknown", group.GetObjective(), abbreviate(group.GetName()))
		}
	}
}

func inRange(value, lowest, highest float64) bool {
	return value >= lowest && value <= highest
}

// checkGroupName reports a reference to a group that does not exist.
func (c *checker) checkGroupName(owner, group string, at Position) {
	if !c.groups[group] {
		c.problems.addf(at, "add the group, or name one that the file has", "%s belongs to group %q, which does not exist", owner, abbreviate(group))
	}
}

func (c *checker) checkBatchClasses() {
	names := c.newNameChecker("batch class")
	for i, class := range c.configuration.GetBatchClasses() {
		path := []Step{element("batch_classes", i)}
		names.check(class.GetName(), c.at(path, field("name")))
		if class.GetTries() == 0 || class.GetTries() > maximumTries {
			c.problems.addf(c.at(path, field("tries")), "set 'tries' between 1 and 1000",
				"batch class %q allows %d tries", abbreviate(class.GetName()), class.GetTries())
		}
		c.checkDuration(class.GetDeadline(), c.at(path, field("deadline")), "the deadline")
		c.checkPositive(class.GetWeight(), c.at(path, field("weight")), "the weight")
	}
}

// checkPositive accepts a value above zero, or a missing one, for which the default
// is used.
func (c *checker) checkPositive(value float64, at Position, what string) {
	if value == 0 && !at.given {
		return
	}
	if !inRange(value, math.SmallestNonzeroFloat64, maximumWeight) {
		c.problems.addf(at, "write a number above 0, at most 1000000, or leave it out for the default", "%s is %v", what, value)
	}
}

// checkDuration accepts a duration above zero, or a missing one, for which the
// default is used.
func (c *checker) checkDuration(value *durationpb.Duration, at Position, what string) {
	if value == nil {
		return
	}
	length := value.AsDuration()
	if value.CheckValid() != nil || length <= 0 || length > maximumDuration {
		c.problems.addf(at, "write a duration above 0 with its unit, for example 30s, at most 10 years, or leave it out for the default",
			"%s is %v", what, length)
	}
}

func (c *checker) checkPolicy() {
	policy := c.configuration.GetPolicy()
	if policy == nil {
		return
	}
	path := []Step{field("policy")}
	c.checkDuration(policy.GetResultRetention(), c.at(path, field("result_retention")), "the retention of results")
	c.checkDuration(policy.GetOnlineStepTarget(), c.at(path, field("online_step_target")), "the target of an engine step")
	c.checkDuration(policy.GetOnlineQueueTimeout(), c.at(path, field("online_queue_timeout")), "the queue timeout")
	c.checkDuration(policy.GetIdempotencyRetention(), c.at(path, field("idempotency_retention")), "the retention of idempotency records")
	ratio := policy.GetRetryRatio()
	at := c.at(path, field("retry_ratio"))
	if ratio == 0 && !at.given {
		return
	}
	if !inRange(ratio, minimumRatio, maximumRatio) {
		c.problems.addf(at, "write a number from 0.001 to 1, or leave it out for 0.1", "the retry ratio is %v", ratio)
	}
}
