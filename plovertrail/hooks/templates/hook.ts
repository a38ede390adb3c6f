import { count, header, refuse, setting, verdict } from "./plovertrail";
export { plovertrail_abi, plovertrail_buffer, plovertrail_buffer_size } from "./plovertrail";

// Refuses requests whose X-Example header is the one that the operator names in config.blocked.
export function on_request(): i32 {
  const blocked = setting("blocked");
  if (blocked != "" && header("x-example") == blocked) {
    refuse(403, "not here");
    count("blocked");
  }
  return verdict();
}
