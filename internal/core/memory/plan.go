package memory

// Bytes is an amount of memory.
type Bytes int64

// MB is 2^20 bytes.
const MB Bytes = 1 << 20

const (
	vmFraction     = 0.8      // of the VM's memory that the process takes; the rest is for the kernel's buffers
	programMemory  = 20 * MB  // of the program itself, which the runtime's limit does not count, and by which the runtime passes it for a moment
	leastFraction  = 0.4      // of the VM's memory that the runtime may use in any case
	callerFraction = 0.4      // of the runtime's memory; the collector needs about half of it to work in
	answerFraction = 1.0 / 6  // of the runtime's memory
	headFraction   = 1.0 / 12 // of the runtime's memory
	fleetFraction  = 0.12     // of the runtime's memory
	portFraction   = 0.02     // of the runtime's memory
	leastAnswers   = 9 * MB   // more than the longest answer, which could not be read otherwise
	mostAnswers    = 16 * MB  // long answers are rare
	defaultVM      = 512 * MB // if the settings name no memory
)

// Plan says how much of a VM's memory each use may take.
type Plan struct {
	Runtime Bytes // all of the Go runtime, as its soft limit
	Callers Bytes // connections and requests of callers
	Heads   Bytes // requests' heads while they are parsed
	Fleet   Bytes // connections of other routers
	Port    Bytes // connections of each other port, so that clients of one can't keep out those of another
	Answers Bytes // long answers of endpoints
}

// Divide divides the memory of a VM; 0 stands for an unknown one.
func Divide(vm Bytes) Plan {
	if vm <= 0 {
		vm = defaultVM
	}
	runtime := max(part(vm, vmFraction)-programMemory, part(vm, leastFraction))
	return Plan{
		Runtime: runtime,
		Callers: part(runtime, callerFraction),
		Heads:   part(runtime, headFraction),
		Fleet:   part(runtime, fleetFraction),
		Port:    part(runtime, portFraction),
		Answers: min(max(part(runtime, answerFraction), leastAnswers), mostAnswers),
	}
}

func part(of Bytes, fraction float64) Bytes { return Bytes(float64(of) * fraction) }
