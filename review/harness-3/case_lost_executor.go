package main

import (
	"fmt"
	"syscall"
	"time"
)

// lostExecutor loses an executor that runs a task that lasts, and the leader soon after.
func lostExecutor(rec *recorder, trouble bool) {
	c := startCell(rec, 3, 8, 30*time.Millisecond)
	defer c.close()
	c.waitReady()
	lasting := &job{id: "5c0e7a21d94b36f8", spec: "door watch", tasks: 3}
	if !c.submit(lasting, `{"count":3,"cpu":2000,"memMb":1024,"estimateMs":1000,"longRunning":true,"antiAffinity":1}`, 0) {
		fatal(fmt.Errorf("the job was not accepted"))
	}
	for deadline := time.Now().Add(10 * time.Second); c.judge.runningTasks(lasting.id) < lasting.tasks; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			fatal(fmt.Errorf("the tasks do not run"))
		}
	}
	time.Sleep(5 * time.Second)
	if trouble {
		var lost *executor
		for _, e := range c.executors {
			e.mu.Lock()
			if len(e.running) > 0 && lost == nil {
				lost = e
			}
			e.mu.Unlock()
		}
		c.judge.trouble("an executor is lost for good")
		lost.losePower()
		time.Sleep(1200 * time.Millisecond)
		leader := c.instances[c.store.leader()]
		c.judge.trouble(fmt.Sprintf("instance %d is killed", leader.number))
		c.signal(leader, syscall.SIGKILL)
		<-leader.exited
		time.Sleep(300 * time.Millisecond)
		c.judge.trouble(fmt.Sprintf("instance %d starts again", leader.number))
		c.start(leader)
	}
	time.Sleep(18 * time.Second)
	c.judge.checkLasting(time.Now())
}
