package main

import (
	"os/exec"
	"runtime"
	"syscall"
	"unsafe"
)

// cpuSet is the set of processors that a thread may run on, as the system call has it.
type cpuSet [16]uint64

// startOnOneCore starts a command that runs on one core, as the deployment page has it for a session controller: the
// process inherits the processors of the thread that starts it. Where the system doesn't let a thread choose, the process
// has all of them.
func startOnOneCore(command *exec.Cmd) error {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	var before cpuSet
	if _, _, errno := syscall.RawSyscall(syscall.SYS_SCHED_GETAFFINITY, 0, unsafe.Sizeof(before),
		uintptr(unsafe.Pointer(&before))); errno != 0 {
		return command.Start()
	}
	var one cpuSet
	for i := range before {
		for bit := range 64 { // the last one: the stand-ins' threads begin with the first
			if before[i]&(1<<bit) != 0 {
				one = cpuSet{}
				one[i] = 1 << bit
			}
		}
	}
	if setCPUs(&one) != nil {
		return command.Start()
	}
	err := command.Start()
	if restored := setCPUs(&before); err == nil {
		err = restored
	}
	return err
}

func setCPUs(set *cpuSet) error {
	_, _, errno := syscall.RawSyscall(syscall.SYS_SCHED_SETAFFINITY, 0, unsafe.Sizeof(*set), uintptr(unsafe.Pointer(set)))
	if errno != 0 {
		return errno
	}
	return nil
}
