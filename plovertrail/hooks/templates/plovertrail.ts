// Reads what a hook is told, and writes its verdict: version 1 of the interface (docs/hook-abi.md).
// A hook's own file exports the three globals again, and the phases that it has; each phase ends with
// `return verdict()`.

const SIZE: i32 = 65536;

export const plovertrail_abi: i32 = 1;
export const plovertrail_buffer: i32 = <i32>memory.data(65536);
export const plovertrail_buffer_size: i32 = SIZE;

const ROOM: i32 = 16384;
const written: usize = memory.data(ROOM); // what is told is still needed while the verdict is written
let size: i32 = 0;

const enum Tag {
  METHOD = 1, PATH = 2, QUERY = 3, HOST = 4, HEADER = 5, TENANT = 6, CLASS = 7, ROUTE = 8, REMAINING_MS = 9,
  BODY = 10, BODY_SIZE = 11, CONFIG = 12, COUNTER = 13, CLIENT = 14, MAY_CHOOSE = 15, STATUS = 16,
  OUTCOME = 17, ELAPSED_MS = 18,
  REFUSE = 64, SET_HEADER = 65, REMOVE_HEADER = 66, SET_TENANT = 67, SET_CLASS = 68, COUNT = 69, LOG = 70,
}

/** The address of the first record with this tag and name; 0 if there is none. */
function find(tag: Tag, name: string = ""): usize {
  const wanted = String.UTF8.encode(name);
  const from = changetype<usize>(wanted);
  const length = <u32>wanted.byteLength;
  let at: usize = plovertrail_buffer + 4;
  const end = at + load<u32>(plovertrail_buffer);
  while (at < end) {
    const names = <u32>load<u16>(at, 2);
    if (load<u16>(at) == <u16>tag && names == length && memory.compare(at + 8, from, length) == 0) return at;
    at += 8 + names + load<u32>(at, 4);
  }
  return 0;
}

function text(at: usize): string {
  return at ? String.UTF8.decodeUnsafe(at + 8 + load<u16>(at, 2), load<u32>(at, 4)) : "";
}

function whole(at: usize): u32 {
  return at ? load<u32>(at + 8 + load<u16>(at, 2)) : 0;
}

export function method(): string { return text(find(Tag.METHOD)); }
export function path(): string { return text(find(Tag.PATH)); }
export function query(): string { return text(find(Tag.QUERY)); }
export function host(): string { return text(find(Tag.HOST)); }
export function route(): string { return text(find(Tag.ROUTE)); }
export function tenant(): string { return text(find(Tag.TENANT)); }
export function requestClass(): string { return text(find(Tag.CLASS)); }
export function body(): string { return text(find(Tag.BODY)); }
export function outcome(): string { return text(find(Tag.OUTCOME)); }
export function status(): u32 { return whole(find(Tag.STATUS)); }
export function elapsedMs(): u32 { return whole(find(Tag.ELAPSED_MS)); }
export function remainingMs(): u32 { return whole(find(Tag.REMAINING_MS)); }
export function counter(name: string): u32 { return whole(find(Tag.COUNTER, name)); }
/** The first header of this name, in lower case; empty if there is none. */
export function header(name: string): string { return text(find(Tag.HEADER, name)); }
/** The operator's setting; empty if there is none. */
export function setting(name: string): string { return text(find(Tag.CONFIG, name)); }

function write(tag: Tag, name: string, value: ArrayBuffer, ahead: i32 = -1): void {
  const key = String.UTF8.encode(name);
  const extra = ahead >= 0 ? 2 : 0;
  const whole = 8 + key.byteLength + extra + value.byteLength;
  if (size + whole > ROOM) unreachable(); // a fault of this one request
  const at = written + size;
  store<u16>(at, <u16>tag);
  store<u16>(at, <u16>key.byteLength, 2);
  store<u32>(at, <u32>(value.byteLength + extra), 4);
  memory.copy(at + 8, changetype<usize>(key), key.byteLength);
  let rest = at + 8 + key.byteLength;
  if (ahead >= 0) store<u16>(rest, <u16>ahead);
  memory.copy(rest + extra, changetype<usize>(value), value.byteLength);
  size += whole;
}

/** The request ends here with this status; it reaches no server. */
export function refuse(status: i32, why: string): void { write(Tag.REFUSE, "", String.UTF8.encode(why), status); }
export function setHeader(name: string, value: string): void {
  write(Tag.SET_HEADER, name, String.UTF8.encode(value));
}
export function removeHeader(name: string): void { write(Tag.REMOVE_HEADER, name, new ArrayBuffer(0)); }
export function setTenant(name: string): void { write(Tag.SET_TENANT, "", String.UTF8.encode(name)); }
export function chooseClass(name: string): void { write(Tag.SET_CLASS, "", String.UTF8.encode(name)); }
export function log(line: string): void { write(Tag.LOG, "", String.UTF8.encode(line)); }
export function count(name: string, by: u32 = 1): void {
  const value = new ArrayBuffer(4);
  store<u32>(changetype<usize>(value), by);
  write(Tag.COUNT, name, value);
}

/** Hands over what was written since the last call. */
export function verdict(): i32 {
  memory.copy(plovertrail_buffer, written, size);
  const taken = size;
  size = 0;
  return taken;
}
