//! The starts and ends of all runs, and whether any task ran twice.

use quincewheel_job::{How, Task};

/// A run, as its worker has it.
struct Record {
    task: Task,
    run: u64,
    /// The worker's process.
    process: usize,
    /// Positions in the order of all starts and ends.
    started: u64,
    ended: Option<(u64, How)>,
    /// The end was acknowledged, and the worker's lease held from the end to the acknowledgement.
    acknowledged: bool,
}

/// The starts and ends of all runs in the order in which they happened.
#[derive(Default)]
pub struct History {
    records: Vec<Record>,
    events: u64,
    processes: usize,
    /// Processes of a worker share its id. A later one may then carry out an order late that an
    /// earlier one has carried out too, which no agent can prevent: calls name the id only.
    pub ids_are_kept: bool,
    /// Descriptions of tasks that ran twice.
    pub violations: Vec<String>,
}

impl History {
    /// Returns the number of a process that starts.
    pub fn start_process(&mut self) -> usize {
        self.processes += 1;
        self.processes
    }

    /// Records a start by a worker's process.
    pub fn start(&mut self, task: &Task, run: u64, process: usize) {
        for known in self.records.iter().filter(|known| known.task == *task) {
            let late = self.ids_are_kept && known.run == run && known.process != process;
            let what = match known.ended {
                Some(_) if late => continue,
                None => "while another run is in progress",
                Some((_, How::Done)) if known.acknowledged => "after an acknowledged end",
                Some(_) => continue,
            };
            let (earlier, there) = (known.run, known.process);
            self.violations.push(format!(
                "{task} run {run} starts at process {process} {what}: run {earlier} at process {there}"
            ));
        }
        self.events += 1;
        let (task, started) = (task.clone(), self.events);
        self.records.push(Record { task, run, process, started, ended: None, acknowledged: false });
    }

    /// Records the end of a run. A process that ends takes its runs along as stopped.
    pub fn end(&mut self, task: &Task, run: u64, process: usize, how: How) {
        self.events += 1;
        let at = self.events;
        if let Some(record) = self.find(task, run, process) {
            record.ended.get_or_insert((at, how));
        }
    }

    /// Records that an end was acknowledged to its worker, whose lease held until then. A start
    /// between the two is a violation too.
    pub fn acknowledge(&mut self, task: &Task, run: u64, process: usize) {
        let Some(record) = self.find(task, run, process) else { return };
        record.acknowledged = true;
        let Some((at, How::Done)) = record.ended else { return };
        let late = |known: &Record| self.ids_are_kept && known.run == run;
        let later = |known: &&Record| known.task == *task && known.started > at && !late(known);
        for later in self.records.iter().filter(later) {
            let (second, there) = (later.run, later.process);
            self.violations.push(format!(
                "{task} run {run} at process {process} ended as done, run {second} started at \
                 process {there}, and the end was acknowledged"
            ));
        }
    }

    fn find(&mut self, task: &Task, run: u64, process: usize) -> Option<&mut Record> {
        self.records
            .iter_mut()
            .rev()
            .find(|known| known.task == *task && known.run == run && known.process == process)
    }
}
