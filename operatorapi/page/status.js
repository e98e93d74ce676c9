"use strict";

const POLL_MS = 2000;
const MAX_QUEUES = 30;
const secretKey = "mangodrum-secret";
let lastSuccess = null;

const byId = (id) => document.getElementById(id);

// element builds a node from text or nodes; text is never parsed as HTML.
function element(tag, className, ...children) {
  const node = document.createElement(tag);
  if (className) node.className = className;
  node.append(...children.map((child) => (child instanceof Node ? child : String(child))));
  return node;
}

function fillTable(id, headers, rows) {
  const head = element("tr", "", ...headers.map((text) => element("th", "", text)));
  const body = rows.map((cells) => element("tr", "", ...cells.map((cell) => element("td", "", cell))));
  if (rows.length === 0) body.push(element("tr", "", element("td", "", "none")));
  byId(id).replaceChildren(element("thead", "", head), element("tbody", "", ...body));
}

function formatDuration(nanoseconds) {
  const ms = nanoseconds / 1e6;
  if (ms < 1000) return ms.toFixed(ms < 10 ? 2 : 0) + " ms";
  if (ms < 120000) return (ms / 1000).toFixed(1) + " s";
  return (ms / 60000).toFixed(1) + " min";
}

function state(text, good) {
  return element("span", good ? "good" : "bad", text);
}

function bar(part, whole, unit) {
  const meter = element("progress", "");
  meter.max = whole || 1;
  meter.value = part;
  return element("span", "", meter, part.toFixed(0) + "/" + whole.toFixed(0) + unit);
}

async function fetchJSON(path) {
  const headers = {};
  const secret = sessionStorage.getItem(secretKey);
  if (secret) headers["Mangodrum-Secret"] = secret;
  const response = await fetch(path, { headers, signal: AbortSignal.timeout(10000) });
  if (response.status === 401) {
    byId("login").hidden = false;
    throw new Error("the operators' secret is required");
  }
  const body = await response.json();
  if (!response.ok) throw new Error(body.message + (body.remedy ? "; remedy: " + body.remedy : ""));
  return body;
}

function showInstances(list, head) {
  const rows = (list.instances || []).map((i) => [
    i.info.id + (i.self ? " (this)" : ""),
    i.info.location.failure_domain,
    state(i.health + (i.draining ? ", draining" : ""), i.health === "live"),
    state("version " + i.settings_version, i.settings_version >= head),
    state(i.store, i.store === "reachable"),
    i.in_flight,
    (i.shards || []).join(", ") || "-",
  ]);
  fillTable("instances", ["instance", "failure domain", "health", "settings", "store", "in flight", "shards"], rows);
}

function percent(share) {
  return (share * 100).toFixed(1) + " %";
}

// keptText tells whether a class floods the shard, or what is kept for it.
function keptText(q) {
  if (q.team) return "";
  if (q.depth > 0 && q.share > q.floor) return state("more work than its floor; others keep theirs", false);
  if (q.depth > 0) return state("below its floor: goes first when due", true);
  return percent(Math.max(q.floor - q.share, 0)) + " kept for it";
}

function showQueues(list) {
  const classes = (list.classes || []).map((c) => [c.class, c.count, formatDuration(c.p50_ns), formatDuration(c.p99_ns)]);
  fillTable("classes", ["class", "starts", "p50", "p99"], classes);
  const queues = (list.queues || []).slice().sort((a, b) => b.depth - a.depth);
  const rows = queues.slice(0, MAX_QUEUES).map((q) => [
    q.shard, q.team || "all teams", q.class, q.depth, formatDuration(q.oldest_age_ns), percent(q.share), percent(q.floor), keptText(q),
  ]);
  if (queues.length > MAX_QUEUES) rows.push(["and " + (queues.length - MAX_QUEUES) + " more"]);
  fillTable("queues", ["shard", "team", "class", "waiting", "oldest", "occupies", "floor", "kept"], rows);
}

function sumDomains(workers) {
  const domains = new Map();
  for (const w of workers) {
    const name = w.worker.location.failure_domain;
    const sum = domains.get(name) || { workers: 0, tasks: 0, unusable: 0, unconfirmed: 0, used: [0, 0, 0], all: [0, 0, 0] };
    const amounts = (r) => [r.milli_cpu / 1000, r.memory_bytes / 2 ** 30, r.accelerators];
    amounts(w.reserved).forEach((value, i) => { sum.used[i] += value; });
    amounts(w.worker.capacity).forEach((value, i) => { sum.all[i] += value; });
    sum.workers += 1;
    sum.tasks += w.tasks;
    sum.unconfirmed += w.unconfirmed;
    if (w.draining || w.quarantined || w.unreachable || w.worker.state !== "live") sum.unusable += 1;
    domains.set(name, sum);
  }
  return [...domains.entries()].sort((a, b) => a[0].localeCompare(b[0]));
}

function showWorkers(list) {
  const rows = sumDomains(list.workers || []).map(([name, d]) => [
    name, d.workers, state(d.unusable, d.unusable === 0), d.tasks, state(d.unconfirmed, d.unconfirmed === 0),
    bar(d.used[0], d.all[0], " cores"), bar(d.used[1], d.all[1], " GiB"), bar(d.used[2], d.all[2], ""),
  ]);
  fillTable("domains", ["failure domain", "workers", "unusable", "tasks", "unconfirmed", "CPU", "memory", "accelerators"], rows);
}

// cellText describes the cell by what it consists of; it has no name.
function cellText(instances, workers) {
  const list = workers.workers || [];
  const regions = new Set(list.map((w) => w.worker.location.region));
  return "cell of " + (instances.instances || []).length + " instances and " + list.length + " workers in " +
    [...regions].sort().join(", ") + "; ";
}

function showSummary(version, status, store, cell) {
  const parts = [cell + "instance " + version.instance + ", " + version.version + ", settings version " + status.head + "; store "];
  parts.push(store.reachable ? state("reachable", true) : state("unreachable: " + (store.last_error || "no reply"), false));
  if (store.pending > 0) parts.push(", " + store.pending + " records wait");
  byId("summary").replaceChildren(...parts);
}

async function refresh() {
  try {
    const paths = ["/v1/version", "/v1/settings/status", "/v1/instances", "/v1/workers", "/v1/queues"];
    const [version, status, instances, workers, queues] = await Promise.all(paths.map(fetchJSON));
    showSummary(version, status, queues.store, cellText(instances, workers));
    showInstances(instances, status.head);
    showWorkers(workers);
    showQueues(queues);
    lastSuccess = new Date();
    byId("problem").hidden = true;
  } catch (error) {
    const since = lastSuccess ? "; shown: " + lastSuccess.toLocaleTimeString() : "";
    byId("problem").textContent = "not current: " + error.message + since;
    byId("problem").hidden = false;
  }
  setTimeout(refresh, POLL_MS);
}

byId("login").addEventListener("submit", (event) => {
  event.preventDefault();
  sessionStorage.setItem(secretKey, byId("secret").value);
  byId("login").hidden = true;
});

refresh();
